package retry

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestBudgetBoundsRetries(t *testing.T) {
	const maxSaved = 20
	b := NewBudget(0.1, maxSaved)
	retries := 0
	for range 10_000 {
		b.Request()
		for b.AllowRetry() { // each request fails and would retry for ever
			retries++
		}
	}
	assert.Assert(t, retries >= 990 && retries <= 1000+maxSaved, "%d retries", retries)
}
