package schedule

import (
	"slices"
	"time"

	"sandbarrow.example/sandbarrow"
)

// DropUnmeetable decides which waiting tickets can't meet their deadline any more, removes and
// returns them: too little time is left to run, or the loads that go before theirs
// take too long.
//
// Inputs: the deadlines, the measured times of a run and of a load, the pace of loads
// while others wait, and how overdue the next load is.
func (s *Scheduler) DropUnmeetable(now time.Time) []*Ticket {
	var hopeless []*Ticket
	soonest := now.Add(s.runTime(now))
	for _, g := range s.groups {
		for _, t := range g.tickets {
			if soonest.After(t.Deadline) {
				hopeless = append(hopeless, t)
			}
		}
	}
	ready := soonest.Add(s.loadWait(now, 0) + s.overdue(now))
	for _, g := range s.loadOrder(now) {
		kept := false
		for _, t := range g.tickets {
			if soonest.After(t.Deadline) {
				continue
			}
			if ready.After(t.Deadline) {
				hopeless = append(hopeless, t)
			} else {
				kept = true
			}
		}
		if kept {
			ready = ready.Add(s.loadPace.get(now))
		}
	}
	for _, t := range hopeless {
		s.Remove(t)
	}
	return hopeless
}

// Submit decides whether a ticket is admitted: it queues it, or refuses it at once
// when it can't meet its deadline, its adapter has just failed to load or the queue is
// full. The error is a *sandbarrow.Refusal with when to come back.
//
// Inputs: the tickets that wait and run, and the same measurements as GiveUp.
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
	s.count(now, t.Model)
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
	at, _ := slices.BinarySearchFunc(g.tickets, t, func(a, b *Ticket) int {
		if s.options.Order.Less(now, b.waiting(), a.waiting()) {
			return 1
		}
		return -1
	})
	g.tickets = slices.Insert(g.tickets, at, t)
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
		wait += s.load.get(now)
	}
	return wait
}

// loadOrder lists the groups that wait for a load, in the order of their loads.
func (s *Scheduler) loadOrder(now time.Time) []*group {
	var order []*group
	for model, g := range s.groups {
		if len(g.tickets) > 0 && s.options.Slots > 0 && s.slots[model] == nil {
			order = append(order, g)
		}
	}
	slices.SortFunc(order, func(a, b *group) int {
		if s.goesBefore(now, a.waiting(groupBonus), b.waiting(groupBonus), a.tickets[0].Model, b.tickets[0].Model) {
			return -1
		}
		return 1
	})
	return order
}

// loadWait is the expected time until a new adapter would be loaded, with
// ahead loads before it.
func (s *Scheduler) loadWait(now time.Time, ahead int) time.Duration {
	wait := s.load.get(now) + s.loadPace.get(now)*time.Duration(ahead)
	if len(s.slots) < s.options.Slots {
		return wait
	}
	for model, sl := range s.slots {
		if sl.state == slotLoaded && sl.running == 0 && !s.isWanted(model) {
			return wait
		}
	}
	return wait + s.runTime(now)/2 // until one of the busy adapters is idle
}

// measurePace learns how fast loads end while others wait.
func (s *Scheduler) measurePace(now time.Time) {
	if !s.loadedAt.IsZero() {
		s.loadPace.add(now, now.Sub(s.loadedAt))
	}
	s.loadedAt, s.waitingSince = time.Time{}, now
	if s.unloadedGroups(nil) > 0 {
		s.loadedAt = now
	}
}

// overdue is by how much the next load is later than expected while groups
// wait. As nothing is known of what holds it up, as much is expected again.
func (s *Scheduler) overdue(now time.Time) time.Duration {
	if s.unloadedGroups(nil) == 0 {
		return 0
	}
	return max(0, now.Sub(s.waitingSince)-s.load.get(now))
}

// unloadedGroups counts the groups that wait for a load, or those of them that
// go before t.
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

// runTime is the mean time of a run: the measured one, or the mean age of what
// runs now if that is more. A run that is cut at its deadline is wasted.
func (s *Scheduler) runTime(now time.Time) time.Duration {
	if s.running == 0 {
		return s.service.get(now)
	}
	age := now.Sub(s.epoch) - s.startSum/time.Duration(s.running)
	return max(s.service.get(now), age)
}
