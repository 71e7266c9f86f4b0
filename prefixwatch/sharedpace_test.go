package prefixwatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// One process alone keeps its own times; a hundred make not much more calls together than
// ten, and never wait without bound.
func TestSharedPaces(t *testing.T) {
	const wait = 3 * time.Second
	callsEach := func(processes int) time.Duration {
		least, most := sharedWait(wait, processes)
		return (least + most) / 2 / time.Duration(processes)
	}
	least, most := sharedWait(wait, 0)
	assert.Equal(t, least, wait)
	assert.Equal(t, most, wait)
	assert.Equal(t, sharedPause(1), longestPause)
	assert.Assert(t, callsEach(10) > 300*time.Millisecond, "%v", callsEach(10))
	assert.Assert(t, callsEach(40) > 250*time.Millisecond, "%v", callsEach(40))
	assert.Assert(t, callsEach(100) > 130*time.Millisecond, "%v", callsEach(100))
	_, most = sharedWait(wait, 1_000_000)
	assert.Equal(t, most, mostWait)
	assert.Equal(t, sharedPause(1_000_000), mostPause)
}
