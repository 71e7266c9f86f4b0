package availability

import (
	"time"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/internal/decay"
)

// The weights of failures in the choice of an upstream.
const (
	// failureHalfLife is the half-life of the share of failures. It is short, so that a failed
	// upstream is tried again within seconds.
	failureHalfLife = 3 * time.Second
	// failureWeight is the weight of one response in the moving average of failures.
	failureWeight = 0.25
	// failurePenalty is the penalty of an upstream that always fails. It exceeds the time of a load
	// and a late response together, so that any other upstream is preferred.
	failurePenalty = 2 * time.Second
	// outcomeRetention is how long the outcomes of an upstream without requests are kept. By then
	// its failures have decayed to almost nothing.
	outcomeRetention = time.Minute
)

// outcomeStats summarizes the outcomes of requests to one upstream.
type outcomeStats struct {
	// updatedAt is when a request to the upstream last began or ended.
	updatedAt time.Time
	failures  float64
	inFlight  int
}

// failureShare is the decayed share of failures, from 0 to 1.
func (s *outcomeStats) failureShare(now time.Time) float64 {
	return s.failures * decay.Factor(now.Sub(s.updatedAt), failureHalfLife)
}

// Outcomes stores, for each upstream, the outcomes of this process's own requests. They complement
// the users' health checks, which can be wrong either way. The zero Outcomes is empty.
type Outcomes struct {
	expiredAt time.Time
	upstreams map[sandbarrow.InstanceID]*outcomeStats
}

// Begin counts a request that is sent.
func (o *Outcomes) Begin(now time.Time, id sandbarrow.InstanceID) {
	o.expire(now)
	s := o.upstreams[id]
	if s == nil {
		if o.upstreams == nil {
			o.upstreams = map[sandbarrow.InstanceID]*outcomeStats{}
		}
		s = &outcomeStats{updatedAt: now}
		o.upstreams[id] = s
	}
	s.inFlight++
}

// End counts the outcome of a request that Begin has counted.
func (o *Outcomes) End(now time.Time, id sandbarrow.InstanceID, failed bool) {
	s := o.upstreams[id]
	if s == nil {
		return
	}
	s.inFlight--
	failureShare := s.failureShare(now) * (1 - failureWeight)
	if failed {
		failureShare += failureWeight
	}
	s.failures, s.updatedAt = failureShare, now
}

// Discard ends a request that Begin has counted without an outcome, because it shows nothing about
// its upstream.
func (o *Outcomes) Discard(id sandbarrow.InstanceID) {
	if s := o.upstreams[id]; s != nil {
		s.inFlight--
	}
}

// Check returns the number of requests in flight at an upstream and the penalty for its failures.
func (o *Outcomes) Check(now time.Time, id sandbarrow.InstanceID) (inFlight int, penalty time.Duration) {
	s := o.upstreams[id]
	if s == nil {
		return 0, 0
	}
	return s.inFlight, time.Duration(s.failureShare(now) * float64(failurePenalty))
}

// expire drops upstreams, such as removed ones, to which nothing was sent for outcomeRetention.
func (o *Outcomes) expire(now time.Time) {
	if now.Sub(o.expiredAt) < outcomeRetention {
		return
	}
	o.expiredAt = now
	for id, s := range o.upstreams {
		if s.inFlight == 0 && now.Sub(s.updatedAt) >= outcomeRetention {
			delete(o.upstreams, id)
		}
	}
}
