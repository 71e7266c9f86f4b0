package loadbudget

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestBackoff(t *testing.T) {
	now := time.Unix(1000, 0)
	b := NewBackoff(10, 2)
	ok, _ := b.Acquire(now)
	assert.Assert(t, ok)
	ok, wait := b.Acquire(now)
	assert.Assert(t, !ok && wait > 0, "the rate is ten a second")
	b.Release(now, true)
	pause := firstPause
	for range 6 {
		now = now.Add(time.Second)
		ok, wait = b.Acquire(now)
		if !ok {
			now = now.Add(wait)
			ok, _ = b.Acquire(now)
		}
		assert.Assert(t, ok)
		b.Release(now, true)
		pause = min(maxPause, 2*pause)
		_, wait = b.Acquire(now)
		assert.Equal(t, wait, pause)
	}
	now = now.Add(maxPause)
	ok, _ = b.Acquire(now)
	assert.Assert(t, ok, "no agent starves")
	b.Release(now, false)
	now = now.Add(time.Second)
	ok, _ = b.Acquire(now)
	assert.Assert(t, ok, "a load that went well ends the pauses")
}

func TestParallelLoads(t *testing.T) {
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
