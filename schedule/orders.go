package schedule

import (
	"slices"
	"time"

	"sandbarrow.example/sandbarrow"
)

// BeginOrder begins an order that NextOrder gave: its victim is unloading and
// its model loading from now on.
func (s *Scheduler) BeginOrder(now time.Time, o Order) {
	if v := s.slots[o.Evict]; v != nil {
		v.state = slotUnloading
	}
	s.slots[o.Model] = &slot{model: o.Model, state: slotLoading, started: now}
}

// EvictDone ends the unload of an order. On failure the adapter stays loaded, unless the
// engine has started anew: then it is gone until the engine lists it.
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

// LoadDone ends the load of an order. It returns the tickets that gave up
// because the load failed. A load for an earlier start of the engine loads nothing at
// this one; its failure counts all the same, since it may be why the engine restarted.
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
		s.load.add(now, now.Sub(sl.started))
		s.measurePace(now)
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

// NextOrder decides which load begins next, and which adapter gives up its slot for
// it; false where none can begin. The group whose first request is most urgent and
// oldest goes first, where each further request counts as groupBonus of age. Without
// mayEvict it gives loads into free slots alone. A group that has waited for drainAfter
// while all adapters are busy gets one of them drained.
func (s *Scheduler) NextOrder(now time.Time, mayEvict bool) (Order, bool) {
	best := s.bestGroup(now, groupBonus, func(model sandbarrow.ModelRef, g *group) bool {
		return s.slots[model] == nil && !now.Before(g.failedUntil) && !s.awaitsBatch(now, g)
	})
	if best == nil {
		return Order{}, false
	}
	o := Order{Model: best.Model, Weights: best.Weights, start: s.start}
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

// Postpone makes an order's model wait, with its tickets, before it is
// ordered again; the weight store pushed back.
func (s *Scheduler) Postpone(until time.Time, o Order) {
	delete(s.slots, o.Model)
	if g := s.groups[o.Model]; g != nil {
		g.failedUntil = until
	}
}

// choose asks the evictor among the views.
func (s *Scheduler) choose(now time.Time, wanted sandbarrow.ModelRef) (sandbarrow.ModelRef, bool) {
	if len(s.views) == 0 {
		return sandbarrow.ModelRef{}, false
	}
	slices.SortFunc(s.views, func(a, b sandbarrow.SlotView) int { return compareModels(a.Model, b.Model) })
	i, ok := s.options.Evictor.Evict(now, s.view(now, &slot{model: wanted, lastUsed: now}), s.views)
	if !ok {
		return sandbarrow.ModelRef{}, false
	}
	return s.views[i].Model, true
}

// drainOne lets no new request start on the busy adapter that costs least, so
// that its slot becomes free. One slot is drained at a time.
func (s *Scheduler) drainOne(now time.Time, wanted sandbarrow.ModelRef) {
	s.views = s.views[:0]
	for _, sl := range s.slots {
		if sl.state == slotDraining {
			return
		}
		if sl.state == slotLoaded {
			s.views = append(s.views, s.view(now, sl))
		}
	}
	if model, ok := s.choose(now, wanted); ok {
		s.slots[model].state = slotDraining
		s.draining = model
	}
}

// awaitsBatch reports whether a small group waits for its batch.
func (s *Scheduler) awaitsBatch(now time.Time, g *group) bool {
	if s.options.BatchWait == 0 || len(g.tickets) >= batchTarget || g.exempt() {
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

func (s *Scheduler) isWanted(model sandbarrow.ModelRef) bool {
	g := s.groups[model]
	return g != nil && len(g.tickets) > 0
}

// undrain gives a drained adapter back to its requests.
func (s *Scheduler) undrain() {
	if sl := s.slots[s.draining]; sl != nil && sl.state == slotDraining {
		sl.state = slotLoaded
	}
	s.draining = sandbarrow.ModelRef{}
}

// victim asks the evictor among the adapters that nobody uses or waits for. A
// drained one goes first.
func (s *Scheduler) victim(now time.Time, wanted sandbarrow.ModelRef) (sandbarrow.ModelRef, bool) {
	s.views = s.views[:0]
	for model, sl := range s.slots {
		if sl.running > 0 || now.Before(sl.keepUntil) {
			continue
		}
		if sl.state == slotDraining {
			return model, true
		}
		if sl.state == slotLoaded && !s.isWanted(model) {
			s.views = append(s.views, s.view(now, sl))
		}
	}
	return s.choose(now, wanted)
}

func (s *Scheduler) view(now time.Time, sl *slot) sandbarrow.SlotView {
	v := sandbarrow.SlotView{LastUsed: sl.lastUsed, Loaded: sl.loadedAt, Model: sl.model}
	if d := s.demands[sl.model]; d != nil {
		v.Demand = d.value(now)
	}
	return v
}
