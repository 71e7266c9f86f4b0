package await

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// fakeClock is a simulated clock. Each pause takes longer than requested by overshoot.
type fakeClock struct {
	at        time.Time
	overshoot time.Duration
}

func (s *fakeClock) clock() clock {
	return clock{now: func() time.Time { return s.at }, sleep: func(d time.Duration) { s.at = s.at.Add(d + s.overshoot) }}
}

func TestStarvedTimeDoesNotCount(t *testing.T) {
	s := fakeClock{overshoot: time.Minute}
	checks := 0
	met := until(s.clock(), time.Second, func() bool {
		checks++
		return checks == 300
	})
	assert.Assert(t, met, "gave up after %d checks", checks)
}

// Time spent in the check and in regular pauses counts towards the timeout.
func TestCheckAndPauseTimeCounts(t *testing.T) {
	var s fakeClock
	start := s.at
	met := until(s.clock(), time.Second, func() bool {
		s.at = s.at.Add(200 * time.Millisecond)
		return false
	})
	assert.Assert(t, !met)
	assert.Assert(t, s.at.Sub(start) < 1300*time.Millisecond, "gave up after %v", s.at.Sub(start))

	start = s.at
	assert.Assert(t, !until(s.clock(), time.Second, func() bool { return false }))
	assert.Assert(t, s.at.Sub(start) < 1100*time.Millisecond, "gave up after %v", s.at.Sub(start))
}
