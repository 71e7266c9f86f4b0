package prefixwatch

import "time"

// This file decides how long a watch may take beyond its wait before its connection counts as
// hung.

const (
	// minSlack is this time for a store that responds fast. It is many times the 4 ms of a healthy
	// store, and more than the 200 ms of a slow one.
	minSlack = 300 * time.Millisecond
	// maxSlack bounds this time: a watch times out after DefaultWait and maxSlack at the latest,
	// also after a long hang. From a store that is slower than this, only changes that arrive
	// before the timeout are read.
	maxSlack = time.Second
	// responseMargin is the allowed multiple of the last response time.
	responseMargin = 3
)

// responseTime estimates how long the store takes to respond. The zero value has no
// observations.
type responseTime struct{ slack time.Duration }

// observe records a response that arrived so long after it was due.
func (a *responseTime) observe(late time.Duration) {
	a.slack = min(max(responseMargin*late, minSlack), maxSlack)
}

// bound returns how long after it is due a response may arrive.
func (a *responseTime) bound() time.Duration {
	return max(a.slack, minSlack)
}

// timedOut records that no response arrived. The store may have become slower.
func (a *responseTime) timedOut() {
	a.slack = min(2*a.bound(), maxSlack)
}
