// Package decay counts what fades with time, by half in each half-life.
package decay

import (
	"math"
	"time"
)

// Factor is what is left of something after a time.
func Factor(elapsed, halfLife time.Duration) float64 {
	return math.Exp2(-elapsed.Seconds() / halfLife.Seconds())
}

// Count is a decayed count. Its zero value is empty.
type Count struct {
	at    time.Time
	count float64
}

// Value is the count at a time.
func (c Count) Value(now time.Time, halfLife time.Duration) float64 {
	return c.count * Factor(now.Sub(c.at), halfLife)
}

// Add counts one more and returns the count.
func (c *Count) Add(now time.Time, halfLife time.Duration) float64 {
	c.count, c.at = c.Value(now, halfLife)+1, now
	return c.count
}
