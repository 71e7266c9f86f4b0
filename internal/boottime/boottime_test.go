package boottime

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The clock advances with the monotonic clock, but also counts a suspension.
func TestSuspensionCounts(t *testing.T) {
	start, monotonicStart := Now(), time.Now()
	time.Sleep(20 * time.Millisecond)
	passed, monotonicPassed := Since(start), time.Since(monotonicStart)
	assert.Assert(t, passed >= 20*time.Millisecond)
	assert.Assert(t, (passed-monotonicPassed).Abs() < 5*time.Millisecond, "%v and %v", passed, monotonicPassed)
	end := start.Add(time.Minute)
	Suspend(time.Hour)
	assert.Assert(t, Since(start) >= time.Hour)
	assert.Assert(t, Until(end) < 0)
	assert.Assert(t, time.Since(monotonicStart) < time.Minute)
}
