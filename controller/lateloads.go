package controller

import (
	"slices"
	"time"
)

// lateOrderLife is how long after it was sent an order without a response may still be
// carried out. The user documentation gives 12 s as the maximum; the rest is margin.
const lateOrderLife = 15 * time.Second

// lateLoad is an order to load an adapter that got no response.
type lateLoad struct {
	at time.Time
	// expected is the sequence at which the order is carried out.
	expected uint64
}

// lateLoads holds the load orders that were sent to an earlier start of the engine and may
// still be carried out by the current one. If both starts have the same ID, an order is
// checked only against the sequence, which begins again after a restart and reaches the
// same numbers. Within one start, a late load finds the slots as they were when it was
// ordered. After a restart all slots may be taken, and an engine crashes if it is given
// more adapters than it has slots.
type lateLoads struct {
	// current holds the orders to the running start, previous those to earlier starts.
	current, previous []lateLoad
}

// add adds a load that got no response.
func (l *lateLoads) add(now time.Time, expected uint64) {
	l.current = slices.DeleteFunc(l.current, func(o lateLoad) bool { return now.Sub(o.at) >= lateOrderLife })
	l.current = append(l.current, lateLoad{at: now, expected: expected})
}

// engineRestarted records that the engine has restarted.
func (l *lateLoads) engineRestarted() {
	l.previous = append(l.previous, l.current...)
	l.current = nil
}

// instanceIDChanged records that the running start has another ID. It refuses all earlier
// orders.
func (l *lateLoads) instanceIDChanged() {
	l.previous = nil
}

// slotsToReserve returns how many slots must stay free for late loads while the engine is
// at a sequence.
func (l *lateLoads) slotsToReserve(now time.Time, sequence uint64) int {
	l.previous = slices.DeleteFunc(l.previous, func(o lateLoad) bool {
		return now.Sub(o.at) >= lateOrderLife || o.expected < sequence
	})
	return len(l.previous)
}
