package crash

import (
	"slices"
	"time"
)

// This file decides which requests are refused. It has no clock, lock or connection.

const (
	// minCrashesNeeded is the smallest number of crashes for which a request is refused. Many
	// unrelated requests meet one crash, and some meet two in a row in any burst of crashes.
	// Users tolerate three crashes.
	minCrashesNeeded = 3
	// maxCrashesNeeded is the number of crashes that is enough however often upstreams crash
	// by themselves. Users tolerate three more sends after the third crash, and some of these
	// are already under way.
	maxCrashesNeeded = 5
	// maxCoincidenceChance bounds the chance that all crashes under a refused request were
	// unrelated to it (TestUnrelatedRequestsAreNotRefused).
	maxCoincidenceChance = 1e-4
	// minUnsharedCrashes: for each other suspect, this many of a refused request's crashes must
	// have happened without that suspect. A request that ran at the same time as a fatal one is
	// then refused only if it meets two more crashes that neither request caused.
	minUnsharedCrashes = 2
)

// crashesNeeded decides for how many crashes a request, or a part of prompts, is refused, by the share
// of recent attempts whose upstream crashed, and the chance that is accepted that these crashes were
// unrelated.
func crashesNeeded(share, maxChance float64) int {
	chance := share * share * share
	for n := minCrashesNeeded; n < maxCrashesNeeded; n++ {
		if chance < maxChance {
			return n
		}
		chance *= share
	}
	return maxCrashesNeeded
}

// crashesUpstreams decides whether a request is refused as one that crashes upstreams.
//
// Its inputs are the request's uncleared crashes, those of each other request that shares any
// of them, and the number needed. They lag by the delay of messages between processes, some
// milliseconds, and are no older than the retention. A crash that the request shares with one
// that has as many crashes, or more, counts only for that other request. This rule does not
// apply to a request with more than maxCrashesNeeded crashes. Otherwise two fatal requests
// that run on the same upstreams would protect each other.
func crashesUpstreams(own []Crash, suspects [][]Crash, needed int) bool {
	counted := own
	for _, suspect := range suspects {
		if len(own)-countShared(own, suspect) < minUnsharedCrashes {
			return false
		}
		if len(suspect) >= len(own) && len(own) <= maxCrashesNeeded {
			counted = subtract(counted, suspect)
		}
	}
	return len(counted) >= needed
}

// subtract returns the crashes in list whose upstream instance is not in others.
func subtract(list, others []Crash) []Crash {
	var rest []Crash
	for _, c := range list {
		if !slices.ContainsFunc(others, func(o Crash) bool { return o.Upstream == c.Upstream }) {
			rest = append(rest, c)
		}
	}
	return rest
}

// countShared counts the crashes that two requests have in common.
func countShared(a, b []Crash) int {
	return len(a) - len(subtract(a, b))
}

// Decision says whether a request is refused, and on how many crashes that is based.
type Decision struct {
	// Crashes counts the uncleared crashes under the request. Needed is the number from which
	// it may be refused.
	Crashes, Needed int
	// Refused says that the request must not be sent to any upstream.
	Refused bool
	// ExpiresIn is the time until the crashes expire, if no other one is added.
	ExpiresIn time.Duration
}
