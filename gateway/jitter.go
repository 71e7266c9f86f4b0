package gateway

import (
	"math/rand/v2"
	"time"
)

// jitter returns a random duration between 50 % and 150 % of d.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d)
}
