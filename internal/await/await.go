// Package await lets tests wait for asynchronous conditions.
package await

import (
	"testing"
	"time"
)

// pollInterval is the pause between two checks.
const pollInterval = 3 * time.Millisecond

// clock is the time source of a wait; tests replace it.
type clock struct {
	now   func() time.Time
	sleep func(time.Duration)
}

// Until polls check until it returns true. It fails the test if that takes longer than within.
//
// Time in which this process was not scheduled does not count. It shows as a pause between two
// checks that takes longer than pollInterval. If the machine is overloaded or stopped, all
// processes of a test are delayed alike.
func Until(t testing.TB, within time.Duration, what string, check func() bool) {
	t.Helper()
	if !until(clock{now: time.Now, sleep: time.Sleep}, within, check) {
		t.Fatalf("condition not met within %v: %s", within, what)
	}
}

// until reports whether check returned true in time, counted as in Until.
func until(c clock, within time.Duration, check func() bool) bool {
	start := c.now()
	var starved time.Duration
	for !check() {
		if c.now().Sub(start)-starved >= within {
			return false
		}
		pauseStart := c.now()
		c.sleep(pollInterval)
		starved += max(0, c.now().Sub(pauseStart)-pollInterval)
	}
	return true
}
