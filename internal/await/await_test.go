package await

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// simulated is a clock whose pauses take longer than asked for, each by overshoot.
type simulated struct {
	at        time.Time
	overshoot time.Duration
}

func (s *simulated) clock() clock {
	return clock{now: func() time.Time { return s.at }, sleep: func(d time.Duration) { s.at = s.at.Add(d + s.overshoot) }}
}

func TestStarvedTimeDoesNotCount(t *testing.T) {
	s := simulated{overshoot: time.Minute}
	looks := 0
	held := until(s.clock(), time.Second, func() bool {
		looks++
		return looks == 300
	})
	assert.Assert(t, held, "gave up after %d looks", looks)
}

// Time that passes within the check itself counts, and so do the pauses.
func TestGivesUpInTime(t *testing.T) {
	var s simulated
	began := s.at
	held := until(s.clock(), time.Second, func() bool {
		s.at = s.at.Add(200 * time.Millisecond)
		return false
	})
	assert.Assert(t, !held)
	assert.Assert(t, s.at.Sub(began) < 1300*time.Millisecond, "gave up after %v", s.at.Sub(began))

	began = s.at
	assert.Assert(t, !until(s.clock(), time.Second, func() bool { return false }))
	assert.Assert(t, s.at.Sub(began) < 1100*time.Millisecond, "gave up after %v", s.at.Sub(began))
}
