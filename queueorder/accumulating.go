package queueorder

import (
	"time"

	"sandbarrow.example/sandbarrow"
)

// Accumulating lets requests accumulate priority while they wait, the urgent ones faster: a request of
// priority 1 half as fast as one of priority 0, one of priority 2 a third as fast. Whoever has accumulated
// most goes first. A less urgent request thus waits for longer, and is overtaken by no more than those
// that arrive before it has waited for its multiple of their wait.
type Accumulating struct{}

// Less reports whether a goes before b.
func (Accumulating) Less(now time.Time, a, b sandbarrow.Waiting) bool {
	x, y := Accumulated(now, a), Accumulated(now, b)
	switch {
	case x != y:
		return x > y
	case a.Priority != b.Priority:
		return a.Priority < b.Priority
	}
	return a.Arrived.Before(b.Arrived)
}

// Accumulated returns the priority that a request has accumulated, as the wait of a request of priority 0.
func Accumulated(now time.Time, w sandbarrow.Waiting) time.Duration {
	return max(0, now.Sub(w.Arrived)) / time.Duration(1+max(0, w.Priority))
}
