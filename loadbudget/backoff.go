// Package loadbudget bounds the loads that an agent takes from the weight store,
// which all agents share. A Backoff belongs to one agent and is not safe for
// concurrent use.
package loadbudget

import (
	"time"

	"golang.org/x/time/rate"
)

const (
	// firstPause follows the first push-back; each further one doubles it.
	firstPause = 500 * time.Millisecond
	// maxPause bounds it, so that no agent starves.
	maxPause = 4 * time.Second
	// pollPause is the wait when only another load's end can help.
	pollPause = 20 * time.Millisecond
)

// Backoff lets each agent use the whole rate and pauses it after the weight
// store's own push-back. An agent with much demand takes what idle agents
// leave, nothing is agreed with anybody, and no outage stops loads.
type Backoff struct {
	active   int
	limit    *rate.Limiter
	parallel int
	pushes   int
	until    time.Time
}

// NewBackoff returns the budget of one agent.
func NewBackoff(loadsPerSecond float64, parallel int) *Backoff {
	return &Backoff{
		limit:    rate.NewLimiter(rate.Limit(loadsPerSecond), 1),
		parallel: parallel,
	}
}

// Acquire takes one load.
func (b *Backoff) Acquire(now time.Time) (bool, time.Duration) {
	if b.active >= b.parallel {
		return false, pollPause
	}
	if now.Before(b.until) {
		return false, b.until.Sub(now)
	}
	r := b.limit.ReserveN(now, 1)
	if wait := r.DelayFrom(now); wait > 0 {
		r.CancelAt(now)
		return false, wait
	}
	b.active++
	return true, 0
}

// Release ends one load and learns from the push-back.
func (b *Backoff) Release(now time.Time, congested bool) {
	b.active = max(0, b.active-1)
	if !congested {
		b.pushes = 0
		return
	}
	b.until = now.Add(min(maxPause, firstPause<<min(b.pushes, 8)))
	b.pushes++
}
