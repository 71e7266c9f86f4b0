package placement

import (
	"time"

	"sandbarrow.example/sandbarrow"
)

const (
	// rankPenalty is the cost of each lower rank, in seconds. It is less than any wait and
	// only decides between upstreams of equal cost.
	rankPenalty = 0.02
	// emptyBatchCost is the cost of an empty batch at full batch weight, in seconds
	// (docs/design/placement.md).
	emptyBatchCost = 2.0
	// defaultLoadTime and defaultServiceTime are used until an upstream reports its own, in
	// seconds.
	defaultLoadTime    = 1.0
	defaultServiceTime = 1.0
)

// Affinity keeps each model on few upstreams: the first of its ranking where it is already
// loaded or cheapest to load. A model spreads to its next rank when waiting at the first
// costs more than a load. It is safe for concurrent use.
type Affinity struct {
	fleet *Fleet
}

// NewAffinity returns a chooser for the upstreams of a fleet.
func NewAffinity(f *Fleet) *Affinity {
	return &Affinity{fleet: f}
}

// Choose returns the eligible upstream of lowest expected cost in the model's ranking. If
// no ranked upstream is eligible, it returns the least busy one of the fleet. It returns
// false if no upstream is eligible.
//
// The decision depends on the last reported load and loaded models of each upstream, which
// lag behind its actual state, on the requests that this entry has in progress there, and
// on the operators' weight of full batches.
func (c *Affinity) Choose(_ time.Time, r *sandbarrow.RouteRequest) (int, bool) {
	c.fleet.mu.Lock()
	defer c.fleet.mu.Unlock()
	best, bestCost, found := 0, 0.0, false
	for rank, i := range c.fleet.rank(r) {
		u := &c.fleet.upstreams[i]
		if !u.isEligible(int(i), r) {
			continue
		}
		cost := u.cost(r) + rankPenalty*float64(rank)
		if !found || cost < bestCost {
			best, bestCost, found = int(i), cost, true
		}
	}
	if found {
		return best, true
	}
	return c.any(r)
}

// any returns the eligible upstream with the fewest requests in the whole fleet.
func (c *Affinity) any(r *sandbarrow.RouteRequest) (int, bool) {
	best, found := 0, false
	for i := range c.fleet.upstreams {
		u := &c.fleet.upstreams[i]
		if u.isEligible(i, r) && (!found || u.requestCount() < c.fleet.upstreams[best].requestCount()) {
			best, found = i, true
		}
	}
	return best, found
}

// cost returns the expected wait of a request, in seconds, plus the cost of an empty batch
// by the operators' weight.
func (u *upstream) cost(r *sandbarrow.RouteRequest) float64 {
	load, serviceTime := u.load.LoadTime.Seconds(), u.load.ServiceTime.Seconds()
	if load == 0 {
		load = defaultLoadTime
	}
	if serviceTime == 0 {
		serviceTime = defaultServiceTime
	}
	requestCount := u.requestCount()
	waiting := max(0, requestCount-u.info.MaxRunning+1)
	cost := serviceTime * float64(waiting) / float64(u.info.MaxRunning)
	if _, ok := u.resident[r.Hash]; !ok && r.Service == "" {
		cost += load
	}
	if !r.Urgent {
		emptyShare := 1 - min(1, float64(requestCount)/float64(u.info.MaxRunning))
		cost += r.BatchWeight * emptyBatchCost * emptyShare
	}
	return cost
}
