package controller

import (
	"maps"
	"time"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/enginelink"
)

// reconcile brings the slots in line with what the engine reports: what it has
// loaded and what it loads. The report has the last word over what was ordered.
func (s *slots) reconcile(now time.Time, models []sandbarrow.LoadedModel, loading []sandbarrow.LoadingAdapter) {
	held := map[sandbarrow.AdapterKey]sandbarrow.AdapterVersion{}
	s.applyModels(models)
	for _, m := range models {
		for _, a := range m.Adapters {
			key := sandbarrow.AdapterKey{Adapter: a.Adapter, Model: m.Model}
			held[key] = a.Version
			s.markLoaded(now, key, a.Version)
		}
	}
	for _, l := range loading {
		if _, replaces := held[l.Key]; replaces {
			s.slots[l.Key].state = enginelink.SlotReplacing
			continue
		}
		held[l.Key] = l.Version
		s.slots[l.Key] = s.slotOf(l.Key)
		s.slots[l.Key].state = enginelink.SlotLoading
		s.slots[l.Key].version = l.Version
	}
	for key := range s.slots {
		if _, ok := held[key]; !ok {
			s.remove(key)
		}
	}
	if len(models) == 0 {
		s.memory.Forget()
	}
	s.memory.MarkLoaded(maps.All(held))
}

// applyModels keeps which versions of base models the engine holds. Where one has changed,
// what the engine kept was made with other weights, or by an earlier start.
func (s *slots) applyModels(models []sandbarrow.LoadedModel) {
	now := make(map[sandbarrow.BaseModelID]sandbarrow.ModelVersion, len(models))
	for _, m := range models {
		now[m.Model] = m.Version
		if before, ok := s.models[m.Model]; ok && before != m.Version {
			s.kept.Clear()
		}
	}
	s.models = now
}

// slotOf returns the slot of an adapter, or a new one.
func (s *slots) slotOf(key sandbarrow.AdapterKey) *slot {
	if sl := s.slots[key]; sl != nil {
		return sl
	}
	return &slot{key: key}
}

// markLoaded keeps that the engine holds a version of an adapter. Where its load
// was ordered here, the time that it took is measured.
func (s *slots) markLoaded(now time.Time, key sandbarrow.AdapterKey, v sandbarrow.AdapterVersion) {
	sl := s.slotOf(key)
	if sl.state != enginelink.SlotLoaded {
		if sl.state == enginelink.SlotLoading && !sl.orderedAt.IsZero() {
			s.countLoad(sl, now.Sub(sl.orderedAt))
		}
		sl.state, sl.loaded = enginelink.SlotLoaded, now
		sl.lastUsed = now
	}
	if sl.version != v {
		s.kept.Drop(key) // it was made with the older version
	}
	sl.version = v
	s.slots[key] = sl
}

// recallMost is the longest time in which the engine's own memory gives an adapter back:
// 0.03 s with the order on the deployments seen, where the weight store takes 0.26 s.
const recallMost = 100 * time.Millisecond

// countLoad counts a load that has ended. One that was far too fast for the weight store
// came from the engine's own memory, though it was not expected there: in the window it
// would make all others look slow, so that one load at a time is left.
func (s *slots) countLoad(sl *slot, took time.Duration) {
	s.loadTook(sl.key, took)
	recalled := took < recallMost
	s.memory.Learn(sl.recalled, recalled)
	if !sl.recalled && !recalled {
		s.window.took(took)
	}
}

// applyOrder keeps that the engine has accepted an order; done says that it is
// carried out already. An adapter that is still to be unloaded keeps its slot until
// the engine no longer reports it.
func (s *slots) applyOrder(now time.Time, o *sandbarrow.EngineOrder, done bool) {
	key := sandbarrow.AdapterKey{Adapter: o.Adapter, Model: o.Model}
	sl := s.slots[key]
	switch {
	case !o.Load && done:
		s.remove(key)
	case !o.Load:
		sl.state = enginelink.SlotReplacing
	case sl != nil:
		sl.state = enginelink.SlotReplacing
	default:
		s.slots[key] = &slot{
			key: key, lastUsed: now, orderedAt: now, recalled: s.memory.Has(key, o.Version), state: enginelink.SlotLoading, version: o.Version,
		}
	}
}
