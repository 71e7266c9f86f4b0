// Package schedule decides, for one upstream, which waiting request starts next and
// which adapter is loaded for which requests. It owns the queue, the slots and the
// measurements of one upstream. It has no clock, no locks and no connections: its owner,
// the agent, passes in the time and the events. Rules that vary are implemented by
// sandbarrow.Evictor and sandbarrow.QueueOrder.
package schedule

import (
	"time"

	"sandbarrow.example/sandbarrow"
)

// maxGroupBonus bounds the age that a group gains by its size. Without the bound, a popular
// adapter could starve a cold one.
const maxGroupBonus = 10 * time.Second

// TicketState is the state of a ticket.
type TicketState int

// The states of a Ticket.
const (
	TicketNew TicketState = iota
	TicketWaiting
	TicketRunning
	TicketDone
)

// Ticket is one request at one upstream.
type Ticket struct {
	Arrived  time.Time
	Deadline time.Time
	Model    sandbarrow.ModelRef
	// NoBatchWait exempts the request from waiting for a batch.
	NoBatchWait bool
	Priority    int
	// StallTime is the time the request waited for its adapter to load.
	StallTime time.Duration
	// Stall reports that the adapter was not loaded when the request arrived.
	Stall bool
	// Started is when the request started to run.
	Started time.Time
	State   TicketState
	Weights string

	// slot is where the ticket runs. After a restart of the engine, another slot may have
	// the same model.
	slot *slot
}

func (t *Ticket) waiting() sandbarrow.Waiting {
	return sandbarrow.Waiting{Arrived: t.Arrived, Priority: t.Priority}
}

// group holds the waiting tickets of one model, in queue order.
type group struct {
	failedUntil time.Time
	tickets     []*Ticket
}

// waiting describes the first ticket. Each further ticket adds bonus to its age.
func (g *group) waiting(bonus time.Duration) sandbarrow.Waiting {
	w := g.tickets[0].waiting()
	w.Arrived = w.Arrived.Add(-min(maxGroupBonus, bonus*time.Duration(len(g.tickets)-1)))
	return w
}

func (g *group) skipsBatchWait() bool {
	for _, t := range g.tickets {
		if t.NoBatchWait {
			return true
		}
	}
	return false
}
