// Package loadbudget limits the loads that an agent makes from the weight store, which all
// agents share. A Backoff belongs to one agent and is not safe for concurrent use.
package loadbudget

import (
	"time"

	"golang.org/x/time/rate"
)

const (
	// initialBackoff follows the first rejection by the weight store. Each consecutive
	// rejection doubles it.
	initialBackoff = 500 * time.Millisecond
	// maxBackoff bounds the backoff, which prevents starvation of an agent.
	maxBackoff = 4 * time.Second
	// pollInterval is the wait while all parallel loads are in use.
	pollInterval = 20 * time.Millisecond
)

// Backoff lets each agent use the whole rate of the weight store and pauses the agent after
// a rejection by the store. An agent with high demand can use what idle agents leave. Agents
// do not coordinate, so an outage of another process does not stop loads.
type Backoff struct {
	active                int
	limit                 *rate.Limiter
	parallel              int
	consecutiveRejections int
	backoffUntil          time.Time
}

// NewBackoff returns the budget of one agent.
func NewBackoff(loadsPerSecond float64, parallel int) *Backoff {
	return &Backoff{
		limit:    rate.NewLimiter(rate.Limit(loadsPerSecond), 1),
		parallel: parallel,
	}
}

// Acquire reserves one load. If none is available, it returns how long to wait.
func (b *Backoff) Acquire(now time.Time) (bool, time.Duration) {
	if b.active >= b.parallel {
		return false, pollInterval
	}
	if now.Before(b.backoffUntil) {
		return false, b.backoffUntil.Sub(now)
	}
	r := b.limit.ReserveN(now, 1)
	if wait := r.DelayFrom(now); wait > 0 {
		r.CancelAt(now)
		return false, wait
	}
	b.active++
	return true, 0
}

// Release ends one load. congested means that the weight store rejected the load, which
// starts or lengthens the backoff.
func (b *Backoff) Release(now time.Time, congested bool) {
	b.active = max(0, b.active-1)
	if !congested {
		b.consecutiveRejections = 0
		return
	}
	b.backoffUntil = now.Add(min(maxBackoff, initialBackoff<<min(b.consecutiveRejections, 8)))
	b.consecutiveRejections++
}
