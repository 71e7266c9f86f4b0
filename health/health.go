// Package health judges upstreams by the outcomes of real requests alone: the users' health
// checks can be wrong either way.
//
// It owns what the outcomes of one process have shown of each upstream, and forgets it. It has
// no clock and no lock: its callers give the time and guard it.
package health

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
	// keepFor is how long an upstream is remembered to which nothing is sent: failures count
	// for nothing by then.
	keepFor = time.Minute
)

// record is what the outcomes at one upstream show.
type record struct {
	// at is when a request last began or ended there.
	at       time.Time
	failures float64
	inFlight int
}

// share is the decayed share of failures from 0 to 1.
func (r *record) share(now time.Time) float64 {
	return r.failures * decay.Factor(now.Sub(r.at), failureHalfLife)
}

// Table keeps the outcomes at each upstream. The zero Table is empty.
type Table struct {
	forgotAt  time.Time
	upstreams map[sandbarrow.InstanceID]*record
}

// Begin counts a request that is sent.
func (t *Table) Begin(now time.Time, id sandbarrow.InstanceID) {
	t.forget(now)
	r := t.upstreams[id]
	if r == nil {
		if t.upstreams == nil {
			t.upstreams = map[sandbarrow.InstanceID]*record{}
		}
		r = &record{at: now}
		t.upstreams[id] = r
	}
	r.inFlight++
}

// End counts the outcome of a request that Begin has counted.
func (t *Table) End(now time.Time, id sandbarrow.InstanceID, failed bool) {
	r := t.upstreams[id]
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

// Look returns the requests in flight at an upstream and the price of its failures.
func (t *Table) Look(now time.Time, id sandbarrow.InstanceID) (inFlight int, penalty time.Duration) {
	r := t.upstreams[id]
	if r == nil {
		return 0, 0
	}
	return r.inFlight, time.Duration(r.share(now) * float64(failurePenalty))
}

// forget drops upstreams to which nothing was sent for keepFor, as those that are gone.
func (t *Table) forget(now time.Time) {
	if now.Sub(t.forgotAt) < keepFor {
		return
	}
	t.forgotAt = now
	for id, r := range t.upstreams {
		if r.inFlight == 0 && now.Sub(r.at) >= keepFor {
			delete(t.upstreams, id)
		}
	}
}
