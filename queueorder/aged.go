// Package queueorder holds the order in which an agent takes waiting requests.
// It keeps no state.
package queueorder

import (
	"time"

	"sandbarrow.example/sandbarrow"
)

// Aged takes urgent classes first, but each step of priority is worth only
// Step of waiting, so that no class is starved.
type Aged struct {
	Step time.Duration
}

// Less reports whether a goes before b.
func (o Aged) Less(_ time.Time, a, b sandbarrow.Waiting) bool {
	return o.due(a).Before(o.due(b))
}

func (o Aged) due(w sandbarrow.Waiting) time.Time {
	return w.Arrived.Add(time.Duration(w.Priority) * o.Step)
}
