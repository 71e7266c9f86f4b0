package schedule

import (
	"slices"
	"time"

	"sandbarrow.example/sandbarrow"
)

// DropUnmeetable removes and returns the waiting tickets that can no longer meet their
// deadline. Either too little time is left to run them, or the loads before theirs take
// too long.
//
// The decision depends on the deadlines, the measured run and load times, the interval
// between loads while groups wait, and the delay of the next load.
func (s *Scheduler) DropUnmeetable(now time.Time) []*Ticket {
	var unmeetable []*Ticket
	soonest := now.Add(s.runTime(now))
	for _, g := range s.groups {
		for _, t := range g.tickets {
			if soonest.After(t.Deadline) {
				unmeetable = append(unmeetable, t)
			}
		}
	}
	ready := soonest.Add(s.loadWait(now, 0) + s.overdue(now))
	for _, g := range s.loadOrder(now) {
		meetable := false
		for _, t := range g.tickets {
			if soonest.After(t.Deadline) {
				continue
			}
			if ready.After(t.Deadline) {
				unmeetable = append(unmeetable, t)
			} else {
				meetable = true
			}
		}
		if meetable {
			ready = ready.Add(s.loadInterval.get(now))
		}
	}
	for _, t := range unmeetable {
		s.Remove(t)
	}
	return unmeetable
}

// Submit queues a ticket. It refuses the ticket at once if the ticket can't meet its
// deadline, its adapter has just failed to load or the queue is full. The error is a
// *sandbarrow.Refusal that says when to retry.
//
// The decision depends on the waiting and running tickets, and on the same measurements
// as DropUnmeetable.
func (s *Scheduler) Submit(now time.Time, t *Ticket) error {
	if s.queued >= s.options.MaxQueued {
		return sandbarrow.NotRun(sandbarrow.ReasonOverload, "the queue is full", s.expectedWait(now, t))
	}
	if g := s.groups[t.Model]; g != nil && len(g.tickets) == 0 {
		if now.Before(g.failedUntil) {
			return sandbarrow.NotRun(sandbarrow.ReasonLoadFailed, "the adapter did not load", g.failedUntil.Sub(now))
		}
		delete(s.groups, t.Model)
	}
	wait := s.expectedWait(now, t) + s.runTime(now)
	if left := t.Deadline.Sub(now); wait > left {
		return sandbarrow.NotRun(sandbarrow.ReasonOverload, "the expected time is over the deadline", wait-left)
	}
	s.recordDemand(now, t.Model)
	t.State = TicketWaiting
	t.Stall = s.options.Slots > 0 && !s.isLoaded(t.Model)
	g := s.groups[t.Model]
	if g == nil {
		g = &group{}
		s.groups[t.Model] = g
	}
	if t.Stall && s.unloadedGroups(nil) == 0 {
		s.waitingSince = now
	}
	index, _ := slices.BinarySearchFunc(g.tickets, t, func(a, b *Ticket) int {
		if s.options.Order.Less(now, b.waiting(), a.waiting()) {
			return 1
		}
		return -1
	})
	g.tickets = slices.Insert(g.tickets, index, t)
	s.queued++
	return nil
}

// expectedWait estimates the wait of a ticket that arrives now.
func (s *Scheduler) expectedWait(now time.Time, t *Ticket) time.Duration {
	ahead := max(0, s.queued+s.running-s.options.MaxRunning+1)
	wait := s.runTime(now) * time.Duration(ahead) / time.Duration(s.options.MaxRunning)
	if s.options.Slots > 0 && s.slots[t.Model] == nil {
		wait += s.loadWait(now, s.unloadedGroups(t)) + s.overdue(now)
	} else if s.options.Slots > 0 && !s.isLoaded(t.Model) {
		wait += s.loadTime.get(now)
	}
	return wait
}

// loadOrder returns the groups that wait for a load, in the order of their loads.
func (s *Scheduler) loadOrder(now time.Time) []*group {
	var order []*group
	for model, g := range s.groups {
		if len(g.tickets) > 0 && s.options.Slots > 0 && s.slots[model] == nil {
			order = append(order, g)
		}
	}
	slices.SortFunc(order, func(a, b *group) int {
		if s.groupLess(now, a.waiting(groupBonus), b.waiting(groupBonus), a.tickets[0].Model, b.tickets[0].Model) {
			return -1
		}
		return 1
	})
	return order
}

// loadWait returns the expected time until a new adapter is loaded, after the given
// number of other loads.
func (s *Scheduler) loadWait(now time.Time, ahead int) time.Duration {
	wait := s.loadTime.get(now) + s.loadInterval.get(now)*time.Duration(ahead)
	if len(s.slots) < s.options.Slots {
		return wait
	}
	for model, sl := range s.slots {
		if sl.state == slotLoaded && sl.running == 0 && !s.hasWaiting(model) {
			return wait
		}
	}
	return wait + s.runTime(now)/2 // until one of the busy adapters becomes idle
}

// measureLoadInterval measures the time between the ends of two loads, if other groups
// were waiting for a load in between.
func (s *Scheduler) measureLoadInterval(now time.Time) {
	if !s.lastLoadEnd.IsZero() {
		s.loadInterval.add(now, now.Sub(s.lastLoadEnd))
	}
	s.lastLoadEnd, s.waitingSince = time.Time{}, now
	if s.unloadedGroups(nil) > 0 {
		s.lastLoadEnd = now
	}
}

// overdue returns by how much the next load exceeds its expected time while groups
// wait. The cause of the delay is unknown, so callers expect the same delay again.
func (s *Scheduler) overdue(now time.Time) time.Duration {
	if s.unloadedGroups(nil) == 0 {
		return 0
	}
	return max(0, now.Sub(s.waitingSince)-s.loadTime.get(now))
}

// unloadedGroups counts the groups that wait for a load. If t is not nil, it counts only
// those that go before t.
func (s *Scheduler) unloadedGroups(t *Ticket) int {
	n := 0
	for model, g := range s.groups {
		if len(g.tickets) == 0 || s.slots[model] != nil {
			continue
		}
		if t == nil || s.options.Order.Less(t.Arrived, g.tickets[0].waiting(), t.waiting()) {
			n++
		}
	}
	return n
}

// runTime returns the mean time of a run: the measured mean, or the mean age of the
// current runs if that is higher. A run that is cut off at its deadline is wasted work.
func (s *Scheduler) runTime(now time.Time) time.Duration {
	if s.running == 0 {
		return s.serviceTime.get(now)
	}
	age := now.Sub(s.epoch) - s.startOffsetSum/time.Duration(s.running)
	return max(s.serviceTime.get(now), age)
}
