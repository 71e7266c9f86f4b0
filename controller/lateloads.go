package controller

import (
	"slices"
	"time"
)

// lateOrderLife is how long after it was sent an order without answer may still be carried
// out: up to 12 s after, as the users' pages say, with a margin.
const lateOrderLife = 15 * time.Second

// lateLoad is an order to load an adapter that got no answer.
type lateLoad struct {
	at time.Time
	// expected is the sequence at which it is carried out.
	expected uint64
}

// lateLoads are the loads that an earlier start of the engine was ordered and that the one
// which runs may still carry out: where it has the same id, all that an order names is its
// sequence, which begins anew and comes to the same numbers. Within one start a late load
// finds the slots as they were when it was ordered; after a restart it may find them all
// taken, and an engine that is to hold too much ends.
type lateLoads struct {
	// current are those of the start that runs, before those of earlier ones.
	current, before []lateLoad
}

// sent notes a load without answer.
func (l *lateLoads) sent(now time.Time, expected uint64) {
	l.current = slices.DeleteFunc(l.current, func(o lateLoad) bool { return now.Sub(o.at) >= lateOrderLife })
	l.current = append(l.current, lateLoad{at: now, expected: expected})
}

// restarted notes that the engine has started again.
func (l *lateLoads) restarted() {
	l.before = append(l.before, l.current...)
	l.current = nil
}

// renamed notes that the start that runs has another id, so that it refuses what was
// ordered before.
func (l *lateLoads) renamed() {
	l.before = nil
}

// possible is how many slots must stay free for loads that may come yet, with the engine
// at a sequence.
func (l *lateLoads) possible(now time.Time, sequence uint64) int {
	l.before = slices.DeleteFunc(l.before, func(o lateLoad) bool {
		return now.Sub(o.at) >= lateOrderLife || o.expected < sequence
	})
	return len(l.before)
}
