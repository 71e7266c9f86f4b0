// Package retry bounds retries to a share of the traffic.
package retry

import "sync"

// maxSaved is how many retries a quiet time can save up.
const maxSaved = 20

// Budget allows retries as a share of requests, so that retries can't multiply
// a load that the fleet already fails to bear.
type Budget struct {
	mu    sync.Mutex
	most  float64
	saved float64
	share float64
}

// NewBudget returns a full budget for a share from 0 to 1.
func NewBudget(share float64) *Budget {
	return NewBudgetOf(share, maxSaved)
}

// NewBudgetOf returns a full budget that saves up at most so many retries.
func NewBudgetOf(share, most float64) *Budget {
	return &Budget{most: most, saved: most, share: share}
}

// Request counts a first try.
func (b *Budget) Request() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.saved = min(b.most, b.saved+b.share)
}

// Retry takes one retry, or reports that there is none.
func (b *Budget) Retry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}

// SetMost changes how many retries a quiet time saves up.
func (b *Budget) SetMost(most float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.most = most
	b.saved = min(b.saved, most)
}
