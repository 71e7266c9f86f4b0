// Package decay counts events with exponential decay: a count halves in each half-life.
package decay

import (
	"math"
	"time"
)

// Factor returns the fraction that remains after the elapsed time.
func Factor(elapsed, halfLife time.Duration) float64 {
	return math.Exp2(-elapsed.Seconds() / halfLife.Seconds())
}

// Count is an exponentially decayed count. Its zero value is a count of 0.
type Count struct {
	at    time.Time
	count float64
}

// Value returns the count at the time now.
func (c Count) Value(now time.Time, halfLife time.Duration) float64 {
	return c.count * Factor(now.Sub(c.at), halfLife)
}

// Add adds one to the count and returns it.
func (c *Count) Add(now time.Time, halfLife time.Duration) float64 {
	c.count, c.at = c.Value(now, halfLife)+1, now
	return c.count
}
