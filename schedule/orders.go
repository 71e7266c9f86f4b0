package schedule

import (
	"slices"
	"time"

	"sandbarrow.example/sandbarrow"
)

// BeginOrder records the start of an order that NextOrder returned: its victim is
// unloading and its model is loading from now on.
func (s *Scheduler) BeginOrder(now time.Time, o Order) {
	if v := s.slots[o.Evict]; v != nil {
		v.state = slotUnloading
	}
	s.slots[o.Model] = &slot{model: o.Model, state: slotLoading, loadStarted: now}
}

// EvictDone records the result of an order's unload. After a failure the adapter stays
// loaded, unless the engine has restarted: then it counts as unloaded until the engine
// lists it.
func (s *Scheduler) EvictDone(o Order, ok bool) {
	v := s.slots[o.Evict]
	switch {
	case v == nil || v.state != slotUnloading:
	case ok, !s.IsCurrent(o):
		delete(s.slots, o.Evict)
	default:
		v.state = slotLoaded
	}
}

// LoadDone records the result of an order's load. After a failure it removes and returns
// the tickets that waited for the load. A load ordered before a restart of the engine
// leaves nothing loaded after it. Its failure still counts, because the load may be why
// the engine restarted.
func (s *Scheduler) LoadDone(now time.Time, o Order, ok bool) []*Ticket {
	sl := s.slots[o.Model]
	if sl == nil || sl.state != slotLoading {
		return nil
	}
	if ok && !s.IsCurrent(o) {
		delete(s.slots, o.Model)
		return nil
	}
	if ok {
		sl.state, sl.loadedAt, sl.lastUsed = slotLoaded, now, now
		s.loadTime.add(now, now.Sub(sl.loadStarted))
		s.measureLoadInterval(now)
		return nil
	}
	delete(s.slots, o.Model)
	g := s.groups[o.Model]
	if g == nil {
		return nil
	}
	failed := slices.Clone(g.tickets)
	for _, t := range failed {
		s.Remove(t)
	}
	s.groups[o.Model] = &group{failedUntil: now.Add(loadRetryPause)}
	return failed
}

// NextOrder decides which adapter is loaded next and which one is evicted for it. It
// returns false if no load can begin. The group whose first request is most urgent and
// oldest goes first; each further request adds groupBonus to its age. Without mayEvict,
// it returns only loads into free slots. If a group has waited for drainAfter while all
// adapters are busy, one of them is drained for it.
func (s *Scheduler) NextOrder(now time.Time, mayEvict bool) (Order, bool) {
	best := s.bestGroup(now, groupBonus, func(model sandbarrow.ModelRef, g *group) bool {
		return s.slots[model] == nil && !now.Before(g.failedUntil) && !s.awaitsBatch(now, g)
	})
	if best == nil {
		return Order{}, false
	}
	o := Order{Model: best.Model, Weights: best.Weights, engineStart: s.engineStart}
	if len(s.slots) < s.options.Slots {
		return o, true
	}
	if !mayEvict {
		s.undrain()
		return o, false
	}
	victim, ok := s.victim(now, best.Model)
	if !ok && now.Sub(best.Arrived) >= drainAfter {
		s.drainOne(now, best.Model)
	}
	o.Evict = victim
	return o, ok
}

// Postpone cancels an order that the weight store rejected. The load is not ordered
// again before the given time; its tickets stay in the queue.
func (s *Scheduler) Postpone(until time.Time, o Order) {
	delete(s.slots, o.Model)
	if g := s.groups[o.Model]; g != nil {
		g.failedUntil = until
	}
}

// chooseVictim lets the evictor choose one of the candidates.
func (s *Scheduler) chooseVictim(now time.Time, pending sandbarrow.ModelRef) (sandbarrow.ModelRef, bool) {
	if len(s.candidates) == 0 {
		return sandbarrow.ModelRef{}, false
	}
	slices.SortFunc(s.candidates, func(a, b sandbarrow.SlotView) int { return compareModels(a.Model, b.Model) })
	i, ok := s.options.Evictor.Evict(now, s.view(now, &slot{model: pending, lastUsed: now}), s.candidates)
	if !ok {
		return sandbarrow.ModelRef{}, false
	}
	return s.candidates[i].Model, true
}

// drainOne stops new requests from starting on the busy adapter that is cheapest to
// evict. Its slot becomes free when its runs end. One slot is drained at a time.
func (s *Scheduler) drainOne(now time.Time, pending sandbarrow.ModelRef) {
	s.candidates = s.candidates[:0]
	for _, sl := range s.slots {
		if sl.state == slotDraining {
			return
		}
		if sl.state == slotLoaded {
			s.candidates = append(s.candidates, s.view(now, sl))
		}
	}
	if model, ok := s.chooseVictim(now, pending); ok {
		s.slots[model].state = slotDraining
		s.draining = model
	}
}

// awaitsBatch reports whether a small group still waits for further tickets before its load.
func (s *Scheduler) awaitsBatch(now time.Time, g *group) bool {
	if s.options.BatchWait == 0 || len(g.tickets) >= batchTarget || g.skipsBatchWait() {
		return false
	}
	oldest := g.tickets[0].Arrived
	for _, t := range g.tickets {
		if t.Arrived.Before(oldest) {
			oldest = t.Arrived
		}
	}
	return now.Sub(oldest) < s.options.BatchWait
}

func (s *Scheduler) hasWaiting(model sandbarrow.ModelRef) bool {
	g := s.groups[model]
	return g != nil && len(g.tickets) > 0
}

// undrain lets new requests start on the drained adapter again.
func (s *Scheduler) undrain() {
	if sl := s.slots[s.draining]; sl != nil && sl.state == slotDraining {
		sl.state = slotLoaded
	}
	s.draining = sandbarrow.ModelRef{}
}

// victim chooses an adapter to evict among those with no running or waiting requests.
// A drained adapter is evicted first.
func (s *Scheduler) victim(now time.Time, pending sandbarrow.ModelRef) (sandbarrow.ModelRef, bool) {
	s.candidates = s.candidates[:0]
	for model, sl := range s.slots {
		if sl.running > 0 || now.Before(sl.protectedUntil) {
			continue
		}
		if sl.state == slotDraining {
			return model, true
		}
		if sl.state == slotLoaded && !s.hasWaiting(model) {
			s.candidates = append(s.candidates, s.view(now, sl))
		}
	}
	return s.chooseVictim(now, pending)
}

func (s *Scheduler) view(now time.Time, sl *slot) sandbarrow.SlotView {
	v := sandbarrow.SlotView{LastUsed: sl.lastUsed, Loaded: sl.loadedAt, Model: sl.model}
	if d := s.demands[sl.model]; d != nil {
		v.Demand = d.value(now)
	}
	return v
}
