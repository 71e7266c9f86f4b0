package prefixwatch

import "time"

// This file decides how often one of many processes calls the store that follow the same
// prefix and tell each other of each change: all of them together as often as a few, so
// that their calls do not grow with their number. What one misses on a call that fails or
// never ends, another one's next call brings.

const (
	// sharedWatchPace is how often one of the processes ends a watch and begins the next,
	// so that a change is seen though all open connections have gone silent. Estimate, not
	// measured: several times within the bound for a change (3 to 5 s seen).
	sharedWatchPace = 500 * time.Millisecond
	// sharedRetryPace is how often one of the processes tries whether a failed store is
	// back. Estimate, not measured: below the first pause of a process alone.
	sharedRetryPace = 30 * time.Millisecond
	// mostWait and mostPause bound both, however many processes there are: the store waits
	// no longer than 30 s, and a process that nobody tells anything is on its own.
	mostWait  = 25 * time.Second
	mostPause = 3 * time.Second
)

// sharedWait returns how long a watch waits at least and at most: one process alone waits
// for wait. Between the two it is drawn at random, so that watches that all ended with
// the same change end at different times.
func sharedWait(wait time.Duration, processes int) (least, most time.Duration) {
	return wait, max(wait, min(mostWait, time.Duration(processes)*sharedWatchPace))
}

// sharedPause returns the longest pause after a failed call.
func sharedPause(processes int) time.Duration {
	return max(longestPause, min(mostPause, time.Duration(processes)*sharedRetryPace))
}
