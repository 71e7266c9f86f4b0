package gateway

import "time"

// This file decides how many requests a gateway serves at once before it refuses new connections. The
// balancer may send most connections of a region to one gateway, which may be one of the smallest
// boxes. Beyond what its link and its processor bear, requests would wait for each other until all are
// late.

const (
	// congestedRoundTrip is the round trip of its own messages from which a gateway is congested. A
	// request needs several of them. A processor with a quota stands still for up to 0.1 s.
	congestedRoundTrip = 200 * time.Millisecond
	// relievedRoundTrip is the round trip below which it bears more requests.
	relievedRoundTrip = 120 * time.Millisecond
	// limitDecrease is the factor of the limit at each sign of congestion, limitIncrease the one at each
	// sign of relief while the limit is reached, and fastIncrease the one from fastIncreaseAfter on after
	// the last decrease, as the cause may have gone.
	limitDecrease, limitIncrease, fastIncrease = 0.75, 1.03, 1.12
	fastIncreaseAfter                          = 3 * time.Second
	// decreaseInterval is the least time between two decreases, in which the queues that one leaves
	// behind drain.
	decreaseInterval = 350 * time.Millisecond
	// resumeShare is the share of the limit below which connections are accepted again.
	resumeShare = 0.9
	// maxRefusing bounds the time in which no connection is accepted, as requests may be slow for
	// another cause.
	maxRefusing = time.Second
	// limitLifetime is how long a limit stays that is not reached.
	limitLifetime = 10 * time.Second
)

// requestLimit is the number of requests in progress from which new connections are refused, learnt
// from the gateway's own round trips.
type requestLimit struct {
	// limit is 0 while there is none.
	limit float64
	// decreased is the time of the last decrease, reached the last time at which the limit was
	// reached.
	decreased, reached time.Time
	// refusingSince is when connections were last refused for the first time; zero while they are
	// accepted.
	refusingSince time.Time
}

// observe learns from a round trip, just measured, with so many requests in progress.
func (l *requestLimit) observe(now time.Time, roundTrip time.Duration, calls int) {
	switch {
	case roundTrip >= congestedRoundTrip:
		l.decrease(now, calls)
	case l.limit == 0:
	case now.Sub(l.reached) >= limitLifetime:
		l.limit = 0
	case roundTrip < relievedRoundTrip && float64(calls) >= resumeShare*l.limit:
		l.limit *= l.increase(now)
	}
	if l.limit > 0 && !l.refusingSince.IsZero() && now.Sub(l.refusingSince) >= maxRefusing {
		l.limit, l.refusingSince = max(l.limit, float64(calls+minBusyCalls)), time.Time{}
	}
}

// increase returns the factor by which the limit grows now.
func (l *requestLimit) increase(now time.Time) float64 {
	if now.Sub(l.decreased) >= fastIncreaseAfter {
		return fastIncrease
	}
	return limitIncrease
}

func (l *requestLimit) decrease(now time.Time, calls int) {
	if now.Sub(l.decreased) < decreaseInterval {
		return
	}
	from := float64(calls)
	if l.limit > 0 {
		from = min(from, l.limit)
	}
	l.limit, l.decreased, l.reached = max(minBusyCalls, limitDecrease*from), now, now
}

// refuses decides whether new connections are refused while so many requests are in progress.
func (l *requestLimit) refuses(now time.Time, calls int) bool {
	if l.limit == 0 {
		l.refusingSince = time.Time{}
		return false
	}
	bound := l.limit
	if !l.refusingSince.IsZero() {
		bound *= resumeShare
	}
	if float64(calls) < bound {
		l.refusingSince = time.Time{}
		return false
	}
	l.reached = now
	if l.refusingSince.IsZero() {
		l.refusingSince = now
	}
	return true
}
