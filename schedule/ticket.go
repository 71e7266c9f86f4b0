// Package schedule decides, for one upstream, which waiting request starts next and
// which adapter is loaded for whom. It owns the queue, the slots and the measurements
// of one upstream; it holds no clock, no locks and no connections: its owner, the
// agent, passes the time and what has happened. It relies on sandbarrow.Evictor and
// sandbarrow.QueueOrder for the rules that vary.
package schedule

import (
	"time"

	"sandbarrow.example/sandbarrow"
)

// maxGroupBonus bounds what the size of a group is worth, so that no cold adapter is starved by a
// popular one.
const maxGroupBonus = 10 * time.Second

// TicketState says how far a ticket has come.
type TicketState int

// The states of a Ticket.
const (
	TicketNew TicketState = iota
	TicketWaiting
	TicketRunning
	TicketEnded
)

// Ticket is one request at one upstream.
type Ticket struct {
	Arrived  time.Time
	Deadline time.Time
	Model    sandbarrow.ModelRef
	// NoBatchWait exempts the request from waiting for a batch.
	NoBatchWait bool
	Priority    int
	// StallTime is the time the request waited for its adapter.
	StallTime time.Duration
	// Stall says that the adapter was not loaded when the request arrived.
	Stall bool
	// Started is when the request started to run.
	Started time.Time
	State   TicketState
	Weights string

	// slot is where it runs. After a restart of the engine another slot may hold
	// the same model.
	slot *slot
}

func (t *Ticket) waiting() sandbarrow.Waiting {
	return sandbarrow.Waiting{Arrived: t.Arrived, Priority: t.Priority}
}

// group holds the waiting tickets of one model, best first.
type group struct {
	failedUntil time.Time
	tickets     []*Ticket
}

// waiting is the first ticket's, counted as older by bonus for each behind it.
func (g *group) waiting(bonus time.Duration) sandbarrow.Waiting {
	w := g.tickets[0].waiting()
	w.Arrived = w.Arrived.Add(-min(maxGroupBonus, bonus*time.Duration(len(g.tickets)-1)))
	return w
}

func (g *group) exempt() bool {
	for _, t := range g.tickets {
		if t.NoBatchWait {
			return true
		}
	}
	return false
}
