package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestLongestPause(t *testing.T) {
	assert.Equal(t, longestPause(false, 0, false), firstGap)
	assert.Equal(t, longestPause(false, 100_000, false), firstGap+5200*time.Millisecond, "the prompts ahead are read first")
	assert.Equal(t, longestPause(true, 100_000, false), longestGap, "its own prompt has been read")
	assert.Equal(t, longestPause(false, 100_000, true), unreachableGap)
	assert.Equal(t, longestPause(true, 0, true), unreachableGap)
}
