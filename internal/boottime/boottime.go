// Package boottime tells time for the ages that guard a rule: leases, confirmations,
// grants, heartbeats, deadlines. The process's steady clock, which time.Now reads, does not
// count the time in which the machine is suspended; what others hold meanwhile (a lease in
// the store, the patience of a caller) runs on. This clock counts it. Neither follows steps
// of the time of day.
//
// Its times differ from those of time.Now by the time of all suspensions since the process
// started, so the two must not be compared. Pauses and timeouts of waiting stay with the
// steady clock: they end later after a suspension, and guard nothing.
//
// Each reading is a call of the system (some 0.1 µs), where time.Now needs none.
package boottime

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// start is a time of the steady clock, and what the boot clock showed then.
var (
	start     = time.Now()
	startBoot = sinceBoot()
)

// skipped is what tests have added to the clock.
var skipped atomic.Int64

// Now is the time now.
func Now() time.Time {
	return start.Add(sinceBoot() - startBoot + time.Duration(skipped.Load()))
}

// Since is how long ago a time of this clock was.
func Since(t time.Time) time.Duration {
	return Now().Sub(t)
}

// Until is how long it is until a time of this clock.
func Until(t time.Time) time.Duration {
	return t.Sub(Now())
}

// Suspend lets the clock go on by d as it does while the machine is suspended: the steady
// clock stands still. For tests.
func Suspend(d time.Duration) {
	skipped.Add(int64(d))
}

// sinceBoot is the time since the machine started, suspensions included. Where the system
// has no such clock, the steady one is as good as any.
func sinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Since(start)
	}
	return time.Duration(t.Nano())
}
