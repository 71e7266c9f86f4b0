package crash

import (
	"slices"
	"time"
)

// This file decides which requests are refused. It has no clock, lock or connection.

const (
	// leastEnds is under how many ends of upstreams a request is refused at the earliest. A
	// request that one upstream ended beside is common, two in a row happen in any storm of
	// crashes; users allow three ends.
	leastEnds = 3
	// mostEnds is under how many it is refused at the latest, however often upstreams end by
	// themselves: users allow three sends more after the third end, and some are on their way.
	mostEnds = 5
	// chanceOfInnocence: a request is refused once the chance that its attempts all met ends
	// that had nothing to do with it is below that (TestNoInnocentIsRefused).
	chanceOfInnocence = 1e-4
	// unsharedEnds: of the ends that count against a request, so many must be ones at which
	// any other suspect did not run. One that ran beside a fatal request is then refused only
	// if it met two ends more, that had to do with neither.
	unsharedEnds = 2
)

// endsNeeded decides under how many ends a request is refused, by the share of attempts
// that lately met the end of their upstream.
func endsNeeded(share float64) int {
	chance := share * share * share
	for n := leastEnds; n < mostEnds; n++ {
		if chance < chanceOfInnocence {
			return n
		}
		chance *= share
	}
	return mostEnds
}

// endsUpstreams decides whether a request is refused as one that ends its upstreams.
//
// Inputs: the ends under it that are not cleared, those under each other request that
// shares any of them, and how many are needed. All are as old as the messages between
// processes take, some milliseconds, and keepFor at most. An end that it shares with a
// request that has met as many ends, or more, counts for that one alone; but not beyond
// mostEnds, else two fatal requests that begin at the same upstreams cover each other.
func endsUpstreams(own []Crash, rivals [][]Crash, needed int) bool {
	counted := own
	for _, rival := range rivals {
		if len(own)-shared(own, rival) < unsharedEnds {
			return false
		}
		if len(rival) >= len(own) && len(own) <= mostEnds {
			counted = without(counted, rival)
		}
	}
	return len(counted) >= needed
}

// without returns the ends of a request that another one does not share.
func without(list, others []Crash) []Crash {
	var rest []Crash
	for _, c := range list {
		if !slices.ContainsFunc(others, func(o Crash) bool { return o.Upstream == c.Upstream }) {
			rest = append(rest, c)
		}
	}
	return rest
}

// shared counts the ends that two requests have in common.
func shared(a, b []Crash) int {
	return len(a) - len(without(a, b))
}

// Decision is what is known of a request.
type Decision struct {
	// Crashes counts the ends of upstreams under it that are not cleared, Needed is at how many
	// it is refused at the earliest.
	Crashes, Needed int
	// Refused says that it is not to be sent to any upstream.
	Refused bool
	// ExpiresIn is how long that is remembered without another end.
	ExpiresIn time.Duration
}
