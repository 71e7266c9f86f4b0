// Package await lets tests wait for what comes about by itself.
package await

import (
	"testing"
	"time"
)

// lookPause is the pause between looks.
const lookPause = 3 * time.Millisecond

// clock is what a wait measures time with; tests replace it.
type clock struct {
	now   func() time.Time
	sleep func(time.Duration)
}

// Until waits until check holds, and ends the test when it does not within a time.
//
// The time in which this process was kept from running does not count: a pause between
// two looks that takes longer than lookPause shows it. Beside a load that starves the
// machine, or where the machine itself stands still, all processes of a test are held up
// alike.
func Until(t testing.TB, within time.Duration, what string, check func() bool) {
	t.Helper()
	if !until(clock{now: time.Now, sleep: time.Sleep}, within, check) {
		t.Fatalf("not within %v: %s", within, what)
	}
}

// until reports whether check came to hold within a time, as Until counts it.
func until(c clock, within time.Duration, check func() bool) bool {
	began := c.now()
	var starved time.Duration
	for !check() {
		if c.now().Sub(began)-starved >= within {
			return false
		}
		paused := c.now()
		c.sleep(lookPause)
		starved += max(0, c.now().Sub(paused)-lookPause)
	}
	return true
}
