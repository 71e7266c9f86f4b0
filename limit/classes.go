// Package limit applies the rate limits of caller classes.
package limit

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"sandbarrow.example/sandbarrow"
)

// Rate is the limit of one class; a zero rate is unlimited.
type Rate struct {
	Burst     int
	PerSecond float64
}

// Classes limits the requests of each caller class.
type Classes struct {
	mu     sync.Mutex
	limits map[sandbarrow.CallerClass]*rate.Limiter
}

// NewClasses returns limits that admit everything.
func NewClasses() *Classes {
	return &Classes{limits: map[sandbarrow.CallerClass]*rate.Limiter{}}
}

// Admit admits one request of a class, or returns the time until one can be admitted.
func (c *Classes) Admit(now time.Time, class sandbarrow.CallerClass) (bool, time.Duration) {
	c.mu.Lock()
	l := c.limits[class]
	c.mu.Unlock()
	if l == nil {
		return true, 0
	}
	r := l.ReserveN(now, 1)
	wait := r.DelayFrom(now)
	if wait > 0 {
		r.CancelAt(now)
		return false, wait
	}
	return true, 0
}

// Set replaces all limits. A class that remains keeps its current usage.
func (c *Classes) Set(now time.Time, rates map[sandbarrow.CallerClass]Rate) {
	c.mu.Lock()
	defer c.mu.Unlock()
	next := map[sandbarrow.CallerClass]*rate.Limiter{}
	for class, r := range rates {
		if r.PerSecond <= 0 {
			continue
		}
		l := c.limits[class]
		if l == nil {
			l = rate.NewLimiter(rate.Limit(r.PerSecond), max(1, r.Burst))
		}
		l.SetLimitAt(now, rate.Limit(r.PerSecond))
		l.SetBurstAt(now, max(1, r.Burst))
		next[class] = l
	}
	c.limits = next
}
