package gateway

import (
	"math/rand/v2"
	"time"
)

// jitter spreads a pause by a half to both sides.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d)
}
