// Package boottime provides the clock for ages that correctness depends on: those of leases,
// confirmations, grants, heartbeats and deadlines. The process's monotonic clock, which time.Now
// reads, does not count the time in which the machine is suspended. Meanwhile a lease in the store
// or the timeout of a client keeps running. This clock counts that time. Steps of the wall clock
// affect neither.
//
// Times of this clock and of time.Now differ by the length of all suspensions since the process
// started, so they must not be compared. Pauses and timeouts of waits use the monotonic clock: they
// end later after a suspension, but no rule depends on them.
//
// Each reading is a system call of some 0.1 µs; time.Now needs none.
package boottime

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// monotonicStart and bootStart are the same moment on the monotonic clock and on the boot clock.
var (
	monotonicStart = time.Now()
	bootStart      = sinceBoot()
)

// testOffset is the time that tests have added to the clock, in nanoseconds.
var testOffset atomic.Int64

// Now returns the current time.
func Now() time.Time {
	return monotonicStart.Add(sinceBoot() - bootStart + time.Duration(testOffset.Load()))
}

// Since returns the time that has passed since a time of this clock.
func Since(t time.Time) time.Duration {
	return Now().Sub(t)
}

// Until returns the time left until a time of this clock.
func Until(t time.Time) time.Duration {
	return t.Sub(Now())
}

// Suspend advances this clock by d and leaves the monotonic clock alone, as a suspension of the
// machine does. For tests.
func Suspend(d time.Duration) {
	testOffset.Add(int64(d))
}

// sinceBoot returns the time since the machine started, suspensions included. On a system without
// this clock it falls back to the monotonic clock.
func sinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Since(monotonicStart)
	}
	return time.Duration(t.Nano())
}
