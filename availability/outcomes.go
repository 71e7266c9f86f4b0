package availability

import (
	"time"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/internal/decay"
)

// The weights of failures in the choice of an upstream.
const (
	// failureHalfLife is the time in which the memory of failures halves: an upstream that
	// failed is tried again within seconds.
	failureHalfLife = 3 * time.Second
	// failureWeight is how far each answer moves the share of failures.
	failureWeight = 0.25
	// failurePenalty is the price of an upstream that always fails: more than a load and a
	// late answer together, so that any other one goes before it.
	failurePenalty = 2 * time.Second
	// keepOutcomes is how long an upstream is remembered to which nothing is sent: failures
	// count for nothing by then.
	keepOutcomes = time.Minute
)

// outcome is what the outcomes at one upstream show.
type outcome struct {
	// at is when a request last began or ended there.
	at       time.Time
	failures float64
	inFlight int
}

// share is the decayed share of failures from 0 to 1.
func (r *outcome) share(now time.Time) float64 {
	return r.failures * decay.Factor(now.Sub(r.at), failureHalfLife)
}

// Outcomes keeps what the outcomes of this process's own requests show of each upstream: the users'
// health checks can be wrong either way. The zero Outcomes is empty.
type Outcomes struct {
	forgotAt  time.Time
	upstreams map[sandbarrow.InstanceID]*outcome
}

// Begin counts a request that is sent.
func (o *Outcomes) Begin(now time.Time, id sandbarrow.InstanceID) {
	o.forget(now)
	r := o.upstreams[id]
	if r == nil {
		if o.upstreams == nil {
			o.upstreams = map[sandbarrow.InstanceID]*outcome{}
		}
		r = &outcome{at: now}
		o.upstreams[id] = r
	}
	r.inFlight++
}

// End counts the outcome of a request that Begin has counted.
func (o *Outcomes) End(now time.Time, id sandbarrow.InstanceID, failed bool) {
	r := o.upstreams[id]
	if r == nil {
		return
	}
	r.inFlight--
	share := r.share(now) * (1 - failureWeight)
	if failed {
		share += failureWeight
	}
	r.failures, r.at = share, now
}

// Withdraw ends a request that Begin has counted, and that says nothing of its upstream.
func (o *Outcomes) Withdraw(id sandbarrow.InstanceID) {
	if r := o.upstreams[id]; r != nil {
		r.inFlight--
	}
}

// Check returns the requests in flight at an upstream and the price of its failures.
func (o *Outcomes) Check(now time.Time, id sandbarrow.InstanceID) (inFlight int, penalty time.Duration) {
	r := o.upstreams[id]
	if r == nil {
		return 0, 0
	}
	return r.inFlight, time.Duration(r.share(now) * float64(failurePenalty))
}

// forget drops upstreams to which nothing was sent for keepOutcomes, as those that are gone.
func (o *Outcomes) forget(now time.Time) {
	if now.Sub(o.forgotAt) < keepOutcomes {
		return
	}
	o.forgotAt = now
	for id, r := range o.upstreams {
		if r.inFlight == 0 && now.Sub(r.at) >= keepOutcomes {
			delete(o.upstreams, id)
		}
	}
}
