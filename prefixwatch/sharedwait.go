package prefixwatch

import (
	"math/rand/v2"
	"time"
)

// This file decides how often a process calls the store if many processes follow the same
// prefix and send each other all changes. Together they call about as often as a few
// processes would; the load on the store does not grow with their number. If one process
// misses a change because its call fails or hangs, the next call of another delivers it.

const (
	// sharedWatchInterval is how often one of many processes ends a watch and begins the next. A
	// new watch sees a change even if all open connections hang. The interval fits several times
	// into the bound for a change (3 to 5 s in practice).
	sharedWatchInterval = 500 * time.Millisecond
	// fewWatchInterval is the same for a few processes. Each of them must see a change in time by
	// itself. Up to ten wait for at most maxUnsharedWait: even with maxSlack, a watch then times
	// out 0.5 s before the process must meet the bound for changes again.
	fewWatchInterval = 150 * time.Millisecond
	maxUnsharedWait  = 1500 * time.Millisecond
	// shortWaitProcesses is how many of many processes draw a short wait, on average; shortWait is
	// the shortest one. With five, the first of 60 processes saw a change after 0.50 to 0.60 s.
	// With none it took 0.6 to 1.2 s although all waits were less than half as long
	// (TestOneOfManyProcessesSeesChangeSoon, five runs each).
	shortWaitProcesses = 5
	shortWait          = 200 * time.Millisecond
	// sharedRetryInterval is how often one of many processes retries a failed store. It is below
	// the first backoff of a single process.
	sharedRetryInterval = 30 * time.Millisecond
	// maxSharedWait and maxSharedBackoff bound the wait and the backoff for any number of
	// processes. The store waits no longer than 30 s, and a process that receives no changes from
	// others depends on its own calls.
	maxSharedWait    = 25 * time.Second
	maxSharedBackoff = 3 * time.Second
)

// waitRange returns the shortest and the longest wait of a watch. A few processes each wait for
// wait or slightly longer. More processes wait longer, and the range begins at a short wait. The
// reason is that a change ends the watches of all processes at the same moment. If none of the
// next watches ended soon, all processes could miss changes at the same time.
func waitRange(wait time.Duration, processes int) (shortest, longest time.Duration) {
	unshared := time.Duration(processes) * fewWatchInterval
	if unshared <= maxUnsharedWait {
		return wait, max(wait, unshared)
	}
	return min(wait, shortWait), max(wait, min(maxSharedWait, time.Duration(processes)*sharedWatchInterval))
}

// drawWait draws the wait of the next watch. If the waits are too long for each process to see
// a change in time by itself, a few of the processes draw a short wait.
func drawWait(wait time.Duration, processes int) time.Duration {
	shortest, longest := waitRange(wait, processes)
	if longest > maxUnsharedWait && rand.Float64()*float64(processes) < shortWaitProcesses {
		longest = 2 * shortest
	}
	return shortest + rand.N(longest-shortest+1)
}

// sharedMaxBackoff returns the longest backoff after failed calls.
func sharedMaxBackoff(processes int) time.Duration {
	return max(maxBackoff, min(maxSharedBackoff, time.Duration(processes)*sharedRetryInterval))
}
