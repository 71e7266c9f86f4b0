// Package queueorder defines the order in which an agent starts waiting requests.
// It is stateless.
package queueorder

import (
	"time"

	"sandbarrow.example/sandbarrow"
)

// Aged puts urgent classes first, but each level of priority counts only as much as Step of
// waiting time. This prevents starvation of low-priority classes.
type Aged struct {
	Step time.Duration
}

// Less reports whether a goes before b.
func (o Aged) Less(_ time.Time, a, b sandbarrow.Waiting) bool {
	return o.effectiveArrival(a).Before(o.effectiveArrival(b))
}

func (o Aged) effectiveArrival(w sandbarrow.Waiting) time.Time {
	return w.Arrived.Add(time.Duration(w.Priority) * o.Step)
}
