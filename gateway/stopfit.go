package gateway

import (
	"time"

	"sandbarrow.example/sandbarrow/internal/boottime"
	"sandbarrow.example/sandbarrow/route"
)

// This file decides which requests a gateway still takes on in a planned stop. Those that can't be
// finished before its end are refused at once, while their callers have time to go elsewhere.

// The number of mean deviations above the mean by which a request is expected to end.
const (
	// likelyDeviations is for callers who would come back to the same gateway if they were refused. One in
	// six requests takes longer, of durations that spread exponentially.
	likelyDeviations = 1
	// safeDeviations is for callers who find another gateway at once. One in twelve takes longer.
	safeDeviations = 2
)

// stopFit is what decides whether a request can be finished before a planned stop ends those that still
// run.
type stopFit struct {
	// left is the time until then.
	left time.Duration
	// deadline is the time until the request's own deadline, by which it has a final response.
	deadline time.Duration
	// usual is how long requests of its route take, if known is set.
	usual durationEstimate
	known bool
	// accepting says that the gateway still accepts connections: callers can't know of the stop yet, and
	// would come back to the same gateway.
	accepting bool
	// replaceable says that the request may run again elsewhere if it is ended, and that its response can
	// be replaced by one of the gateway until it is complete.
	replaceable bool
}

// fits decides whether the request is taken on: if it ends by its own deadline, or else if requests of its
// route usually take no longer than what is left and the risk is worth it.
func (f stopFit) fits() bool {
	switch {
	case f.deadline <= f.left:
		return true
	case f.accepting:
		return !f.known || f.usual.within(likelyDeviations) <= f.left
	}
	return f.replaceable && f.known && f.usual.within(safeDeviations) <= f.left
}

// fitsStop decides whether the call can be finished before a planned stop ends it; true at other times.
func (c *call) fitsStop() bool {
	s := c.gateway.stopping.Load()
	if s == nil {
		return true
	}
	now := boottime.Now()
	f := stopFit{
		left: s.callsEnd.Sub(now), deadline: c.deadline.Sub(now), accepting: now.Before(s.acceptsUntil),
		replaceable: c.route.Retryable() && c.route.Kind != route.KindStream,
	}
	f.usual, f.known = c.gateway.routeTimes.usual(c.route.Name)
	return f.fits()
}

// endedByStop reports whether a planned stop leaves the call no more time, though its deadline does.
func (c *call) endedByStop() bool {
	s := c.gateway.stopping.Load()
	return s != nil && boottime.Until(s.callsEnd) <= minSendTime && c.callerRequest.timeLeft() > minSendTime
}
