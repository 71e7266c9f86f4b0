package prefixwatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestDrawnWaitsEndAtDifferentTimes(t *testing.T) {
	const draws = 20_000
	for processes, shortest := range map[int]time.Duration{10: 130, 13: 150, 40: 200, 100: 110} {
		sum, short := time.Duration(0), 0
		for range draws {
			wait := drawWait(DefaultWait, processes)
			sum += wait
			if wait <= 2*shortWait {
				short++
			}
		}
		interval := sum / draws / time.Duration(processes)
		assert.Assert(t, interval > shortest*time.Millisecond, "%d: a call every %v", processes, interval)
		expected := float64(short) / draws * float64(processes)
		assert.Assert(t, processes <= 10 || expected > shortWaitProcesses*0.9, "%d: %v end soon", processes, expected)
	}
}

func TestWaitAndBackoffBounds(t *testing.T) {
	const wait = DefaultWait
	callsEach := func(processes int) time.Duration {
		shortest, longest := waitRange(wait, processes)
		return (shortest + longest) / 2 / time.Duration(processes)
	}
	for processes := range 11 {
		shortest, longest := waitRange(wait, processes)
		assert.Equal(t, shortest, wait)
		assert.Assert(t, longest >= wait)
		assert.Assert(t, longest+maxSlack <= maxMissedTime, "%d: %v", processes, longest)
	}
	_, longest := waitRange(wait, 0)
	assert.Equal(t, longest, wait)
	assert.Equal(t, sharedMaxBackoff(1), maxBackoff)
	for _, processes := range []int{11, 40, 100} {
		shortest, _ := waitRange(wait, processes)
		assert.Equal(t, shortest, shortWait, "the shortest wait is short")
	}
	assert.Assert(t, callsEach(10) > 130*time.Millisecond, "%v", callsEach(10))
	assert.Assert(t, callsEach(40) > 250*time.Millisecond, "%v", callsEach(40))
	assert.Assert(t, callsEach(100) > 120*time.Millisecond, "%v", callsEach(100))
	_, longest = waitRange(wait, 1_000_000)
	assert.Equal(t, longest, maxSharedWait)
	assert.Equal(t, sharedMaxBackoff(1_000_000), maxSharedBackoff)
}
