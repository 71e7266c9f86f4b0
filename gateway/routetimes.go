package gateway

import (
	"sync"
	"time"
)

const (
	// meanShare and deviationShare are the divisors by which a duration changes the mean and the mean
	// deviation, as for TCP's round trips (RFC 6298).
	meanShare, deviationShare = 8, 4
	// maxRouteTimes bounds the routes that are followed, as operators may rename theirs at any time.
	maxRouteTimes = 4096
)

// routeTimes learns how long the requests of each route take at this gateway. It is safe for concurrent use.
type routeTimes struct {
	mu      sync.Mutex
	byRoute map[string]durationEstimate
}

// durationEstimate is a moving mean of durations and their moving mean deviation from it.
type durationEstimate struct {
	mean, deviation time.Duration
}

// within returns the time within which a request ends that takes so many mean deviations longer than the
// mean.
func (e durationEstimate) within(deviations int) time.Duration {
	return e.mean + time.Duration(deviations)*e.deviation
}

// usual returns how long the requests of a route take; ok is false if none has ended.
func (r *routeTimes) usual(route string) (e durationEstimate, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, ok = r.byRoute[route]
	return e, ok
}

// observe records how long a request took.
func (r *routeTimes) observe(route string, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, known := r.byRoute[route]
	if !known {
		if r.byRoute == nil || len(r.byRoute) >= maxRouteTimes {
			r.byRoute = map[string]durationEstimate{}
		}
		r.byRoute[route] = durationEstimate{mean: took, deviation: took / 2}
		return
	}
	e.deviation += ((took - e.mean).Abs() - e.deviation) / deviationShare
	e.mean += (took - e.mean) / meanShare
	r.byRoute[route] = e
}
