// Package distance estimates how far away other failure domains are.
//
// A Table learns the round-trip time to each failure domain from connections that are opened there.
// It owns these estimates, and relies on its callers to measure. It is safe for concurrent use.
package distance

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"sandbarrow.example/sandbarrow"
)

const (
	// precision is the unit of the estimates. Smaller differences are noise: they must not decide
	// which of several equally distant domains gets the requests.
	precision = 10 * time.Millisecond
	// samples is how many measurements count. The shortest of them is the estimate: all others
	// include a busy process at one of the ends. Older ones are dropped, so that the estimate
	// follows a changed network.
	samples = 8
)

// Table holds the estimates of one process.
type Table struct {
	estimates atomic.Pointer[RoundTrips]

	mu sync.Mutex
	// last holds the last measurements of each failure domain, oldest first.
	last map[sandbarrow.FailureDomain][]time.Duration
}

// NewTable returns a table without measurements.
func NewTable() *Table {
	t := &Table{last: map[sandbarrow.FailureDomain][]time.Duration{}}
	t.estimates.Store(&RoundTrips{})
	return t
}

// Observe records the time that it took to open a connection to a process in a failure domain.
func (t *Table) Observe(domain sandbarrow.FailureDomain, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	last := append(t.last[domain], took)
	if len(last) > samples {
		last = slices.Delete(last, 0, 1)
	}
	t.last[domain] = last
	estimates := maps.Clone(*t.estimates.Load())
	estimates[domain] = slices.Min(last)
	t.estimates.Store(&estimates)
}

// RoundTrips returns the current estimates, which must not be changed.
func (t *Table) RoundTrips() RoundTrips {
	return *t.estimates.Load()
}

// RoundTrips are round-trip times by failure domain.
type RoundTrips map[sandbarrow.FailureDomain]time.Duration

// To returns the round-trip time to a failure domain, as a multiple of precision. It is 0 for a domain
// that has not been measured.
func (r RoundTrips) To(domain sandbarrow.FailureDomain) time.Duration {
	return r[domain].Round(precision)
}
