// Package retry bounds retries to a share of the traffic, so that they can't
// multiply a load that the fleet already fails to carry. It owns the count of one
// budget and relies on nothing; gateways and entries use it.
package retry

import "sync"

// Budget allows retries as a share of requests. It is safe for concurrent use.
type Budget struct {
	mu sync.Mutex
	// most bounds what is saved up, in retries.
	most  float64
	saved float64
	share float64
}

// NewBudget returns a full budget that saves up at most so many retries; share is
// from 0 to 1.
func NewBudget(share, most float64) *Budget {
	return &Budget{most: most, saved: most, share: share}
}

// Request counts a first attempt.
func (b *Budget) Request() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.saved = min(b.most, b.saved+b.share)
}

// AllowRetry takes one retry, or reports that there is none.
func (b *Budget) AllowRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}

// SetMost changes how many retries are saved up at most.
func (b *Budget) SetMost(most float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.most = most
	b.saved = min(b.saved, most)
}
