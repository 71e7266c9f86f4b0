package prefixwatch

import (
	"math/rand/v2"
	"time"
)

// This file decides how often one of many processes calls the store that follow the same
// prefix and tell each other of each change: all of them together as often as a few, so
// that their calls do not grow with their number. What one misses on a call that fails or
// never ends, another one's next call brings.

const (
	// sharedWatchPace is how often one of the processes ends a watch and begins the next,
	// so that a change is seen though all open connections have gone silent. Ten processes
	// still wait for 2 s at most, so that each of them hears a change in time by itself.
	sharedWatchPace = 200 * time.Millisecond
	// mostAlone is the longest wait after which each process still hears a change in time by
	// itself, as sharedWatchPace gives it to ten.
	mostAlone = 2 * time.Second
	// soonProcesses is how many of those that wait longer draw a short wait, on average. With
	// five the first of 60 heard a change after 0.50 to 0.54 s, with none after 0.6 to 1.2 s
	// (TestOneOfManyHearsSoon, five runs each).
	soonProcesses = 5
	// sharedRetryPace is how often one of the processes tries whether a failed store is
	// back. Estimate, not measured: below the first pause of a process alone.
	sharedRetryPace = 30 * time.Millisecond
	// mostWait and mostPause bound both, however many processes there are: the store waits
	// no longer than 30 s, and a process that nobody tells anything is on its own.
	mostWait  = 25 * time.Second
	mostPause = 3 * time.Second
)

// sharedWait returns how long a watch waits at least and at most: a few processes wait for
// wait, each of them. Where there are more, and some wait for longer, the wait is drawn at
// random from a short one on: a change ends the watches of all at one moment, and were
// none to end soon after the next ones begin, all would be deaf together.
func sharedWait(wait time.Duration, processes int) (least, most time.Duration) {
	most = min(mostWait, time.Duration(processes)*sharedWatchPace)
	if most <= wait {
		return wait, wait
	}
	return min(wait, sharedWatchPace), most
}

// drawWait draws how long the next watch of one of so many processes waits. Where they wait
// for too long to hear a change in time each, a few of them wait shortly.
func drawWait(wait time.Duration, processes int) time.Duration {
	least, most := sharedWait(wait, processes)
	if most > mostAlone && rand.Float64()*float64(processes) < soonProcesses {
		most = 2 * least
	}
	return least + rand.N(most-least+1)
}

// sharedPause returns the longest pause after a failed call.
func sharedPause(processes int) time.Duration {
	return max(longestPause, min(mostPause, time.Duration(processes)*sharedRetryPace))
}
