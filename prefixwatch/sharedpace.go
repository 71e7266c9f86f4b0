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
	// sharedWatchPace is how often one of many processes ends a watch and begins the next, so that
	// a change is seen though all open connections have gone silent: several times within the bound
	// for a change (3 to 5 s seen).
	sharedWatchPace = 500 * time.Millisecond
	// fewWatchPace is the same of a few processes, each of which hears a change in time by
	// itself: up to ten, which wait for mostAlone at most, so that also with mostSlack a
	// watch is given up 0.5 s before a process is held to the bound again.
	fewWatchPace = 150 * time.Millisecond
	mostAlone    = 1500 * time.Millisecond
	// soonProcesses is how many of those that wait longer draw a short wait, on average, and
	// shortWait is the least of them. With five the first of 60 heard a change after 0.50 to
	// 0.60 s, with none after 0.6 to 1.2 s though all waited for less than half as long
	// (TestOneOfManyHearsSoon, five runs each).
	soonProcesses = 5
	shortWait     = 200 * time.Millisecond
	// sharedRetryPace is how often one of the processes tries whether a failed store is back: below
	// the first pause of a process alone.
	sharedRetryPace = 30 * time.Millisecond
	// mostWait and mostPause bound both, however many processes there are: the store waits
	// no longer than 30 s, and a process that nobody tells anything is on its own.
	mostWait  = 25 * time.Second
	mostPause = 3 * time.Second
)

// sharedWait returns how long a watch waits at least and at most. A few processes wait for
// wait or a bit longer, each of them. Where there are more, they wait for longer, and the wait
// is drawn at random from a short one on: a change ends the watches of all at one moment, and
// were none to end soon after the next ones begin, all would be deaf together.
func sharedWait(wait time.Duration, processes int) (least, most time.Duration) {
	few := time.Duration(processes) * fewWatchPace
	if few <= mostAlone {
		return wait, max(wait, few)
	}
	return min(wait, shortWait), max(wait, min(mostWait, time.Duration(processes)*sharedWatchPace))
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
