package loadbudget

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestBackoffDoublesUpToItsMaximum(t *testing.T) {
	now := time.Unix(1000, 0)
	b := NewBackoff(10, 2)
	ok, _ := b.Acquire(now)
	assert.Assert(t, ok)
	ok, wait := b.Acquire(now)
	assert.Assert(t, !ok && wait > 0, "acquired two loads at once, at a rate of ten per second")
	b.Release(now, true)
	backoff := initialBackoff
	for range 6 {
		now = now.Add(time.Second)
		ok, wait = b.Acquire(now)
		if !ok {
			now = now.Add(wait)
			ok, _ = b.Acquire(now)
		}
		assert.Assert(t, ok)
		b.Release(now, true)
		backoff = min(maxBackoff, 2*backoff)
		_, wait = b.Acquire(now)
		assert.Equal(t, wait, backoff)
	}
	now = now.Add(maxBackoff)
	ok, _ = b.Acquire(now)
	assert.Assert(t, ok, "still refused after the maximum backoff")
	b.Release(now, false)
	now = now.Add(time.Second)
	ok, _ = b.Acquire(now)
	assert.Assert(t, ok, "a successful load did not end the backoff")
}

func TestAcquireBoundsParallelLoads(t *testing.T) {
	now := time.Unix(1000, 0)
	b := NewBackoff(10, 2)
	for i := range 2 {
		ok, _ := b.Acquire(now.Add(time.Duration(i) * time.Second))
		assert.Assert(t, ok)
	}
	ok, wait := b.Acquire(now.Add(5 * time.Second))
	assert.Assert(t, !ok && wait > 0)
	b.Release(now.Add(5*time.Second), false)
	ok, _ = b.Acquire(now.Add(6 * time.Second))
	assert.Assert(t, ok)
}
