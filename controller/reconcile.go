package controller

import (
	"maps"
	"time"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/enginelink"
)

// reconcile updates the slots from the engine's report of loaded and loading adapters. The
// report takes precedence over the orders sent.
func (s *slots) reconcile(now time.Time, models []sandbarrow.LoadedModel, loading []sandbarrow.LoadingAdapter) {
	reported := map[sandbarrow.AdapterKey]sandbarrow.AdapterVersion{}
	s.applyModels(models)
	for _, m := range models {
		for _, a := range m.Adapters {
			key := sandbarrow.AdapterKey{Adapter: a.Adapter, Model: m.Model}
			reported[key] = a.Version
			s.markLoaded(now, key, a.Version)
		}
	}
	for _, l := range loading {
		if _, replaces := reported[l.Key]; replaces {
			s.slots[l.Key].state = enginelink.SlotReplacing
			continue
		}
		reported[l.Key] = l.Version
		s.slots[l.Key] = s.slotOf(l.Key)
		s.slots[l.Key].state = enginelink.SlotLoading
		s.slots[l.Key].version = l.Version
	}
	for key := range s.slots {
		if _, ok := reported[key]; !ok {
			s.remove(key)
		}
	}
	if len(models) == 0 {
		s.recallMemory.Forget()
	}
	s.recallMemory.MarkLoaded(maps.All(reported))
}

// applyModels records the versions of the engine's base models. If one has changed, the
// cached prompts belong to other weights or to an earlier start, so the prompt cache is
// cleared.
func (s *slots) applyModels(models []sandbarrow.LoadedModel) {
	now := make(map[sandbarrow.BaseModelID]sandbarrow.ModelVersion, len(models))
	for _, m := range models {
		now[m.Model] = m.Version
		if before, ok := s.models[m.Model]; ok && before != m.Version {
			s.cached.Clear()
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

// markLoaded records that the engine has loaded a version of an adapter. If the load was
// ordered here, its duration is recorded.
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
		s.cached.Drop(key) // cached for the older version
	}
	sl.version = v
	s.slots[key] = sl
}

// maxRecallTime is the longest recall from the engine's own memory. On the deployments
// seen, a recall takes 0.03 s including the order, and a load from the weight store takes
// 0.26 s.
const maxRecallTime = 100 * time.Millisecond

// countLoad records a finished load. A load that was far too fast for the weight store came
// from the engine's own memory even if it was not expected there. Counted in the load
// window, it would make all other loads look slow and shrink the window to one load at a
// time.
func (s *slots) countLoad(sl *slot, took time.Duration) {
	s.observeLoad(sl.key, took)
	recalled := took < maxRecallTime
	s.recallMemory.Learn(sl.recalled, recalled)
	if !sl.recalled && !recalled {
		s.window.took(took)
	}
}

// applyOrder records an order that the engine has accepted. done reports that it has
// already been carried out. An adapter that is still to be unloaded keeps its slot until
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
			key: key, lastUsed: now, orderedAt: now, preloaded: s.pending[key] == nil, recalled: s.recallMemory.Has(key, o.Version), state: enginelink.SlotLoading, version: o.Version,
		}
	}
}
