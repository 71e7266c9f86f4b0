// Package retry bounds retries to a share of the traffic. Otherwise retries would multiply the load
// of a fleet that is already overloaded. The package owns the count of one budget and depends on
// nothing; gateways and entries use it.
package retry

import "sync"

// Budget allows retries as a share of requests. It is safe for concurrent use.
type Budget struct {
	mu sync.Mutex
	// maxSaved bounds the retries that are saved up.
	maxSaved float64
	saved    float64
	share    float64
}

// NewBudget returns a full budget that saves up at most maxSaved retries. share is from 0 to 1.
func NewBudget(share, maxSaved float64) *Budget {
	return &Budget{maxSaved: maxSaved, saved: maxSaved, share: share}
}

// Request counts a first attempt.
func (b *Budget) Request() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.saved = min(b.maxSaved, b.saved+b.share)
}

// AllowRetry takes one retry from the budget, and returns false if none is left.
func (b *Budget) AllowRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}

// Saved returns the number of retries that are saved up.
func (b *Budget) Saved() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.saved
}

// SetMax changes how many retries are saved up at most.
func (b *Budget) SetMax(maxSaved float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.maxSaved = maxSaved
	b.saved = min(b.saved, maxSaved)
}
