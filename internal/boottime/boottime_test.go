package boottime

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The clock goes on with the steady one, and counts a suspension that that one does not.
func TestSuspensionCounts(t *testing.T) {
	began, steady := Now(), time.Now()
	time.Sleep(20 * time.Millisecond)
	passed, steadyPassed := Since(began), time.Since(steady)
	assert.Assert(t, passed >= 20*time.Millisecond)
	assert.Assert(t, (passed-steadyPassed).Abs() < 5*time.Millisecond, "%v and %v", passed, steadyPassed)
	end := began.Add(time.Minute)
	Suspend(time.Hour)
	assert.Assert(t, Since(began) >= time.Hour)
	assert.Assert(t, Until(end) < 0)
	assert.Assert(t, time.Since(steady) < time.Minute)
}
