package prefixwatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestDrawnWaitsEndAtDifferentTimes(t *testing.T) {
	const draws = 20_000
	for processes, least := range map[int]time.Duration{10: 130, 13: 150, 40: 200, 100: 110} {
		sum, soon := time.Duration(0), 0
		for range draws {
			wait := drawWait(DefaultWait, processes)
			sum += wait
			if wait <= 2*shortWait {
				soon++
			}
		}
		pace := sum / draws / time.Duration(processes)
		assert.Assert(t, pace > least*time.Millisecond, "%d: a call each %v", processes, pace)
		expected := float64(soon) / draws * float64(processes)
		assert.Assert(t, processes <= 10 || expected > soonProcesses*0.9, "%d: %v end soon", processes, expected)
	}
}

func TestSharedPaces(t *testing.T) {
	const wait = DefaultWait
	callsEach := func(processes int) time.Duration {
		least, most := sharedWait(wait, processes)
		return (least + most) / 2 / time.Duration(processes)
	}
	for processes := range 11 {
		least, most := sharedWait(wait, processes)
		assert.Equal(t, least, wait)
		assert.Assert(t, most >= wait)
		assert.Assert(t, most+mostSlack <= deafMost, "%d: %v", processes, most)
	}
	_, most := sharedWait(wait, 0)
	assert.Equal(t, most, wait)
	assert.Equal(t, sharedPause(1), longestPause)
	for _, processes := range []int{11, 40, 100} {
		least, _ := sharedWait(wait, processes)
		assert.Equal(t, least, shortWait, "one ends its watch soon")
	}
	assert.Assert(t, callsEach(10) > 130*time.Millisecond, "%v", callsEach(10))
	assert.Assert(t, callsEach(40) > 250*time.Millisecond, "%v", callsEach(40))
	assert.Assert(t, callsEach(100) > 120*time.Millisecond, "%v", callsEach(100))
	_, most = sharedWait(wait, 1_000_000)
	assert.Equal(t, most, mostWait)
	assert.Equal(t, sharedPause(1_000_000), mostPause)
}
