package placement

import (
	"time"

	"sandbarrow.example/sandbarrow"
)

const (
	// rankPenalty is what each lower rank costs, in seconds: less than any wait, so that it only
	// decides between equals.
	rankPenalty = 0.02
	// packing is what an empty batch costs at full batch weight, in seconds (BenchmarkBatchWeight,
	// docs/design/placement.md).
	packing = 2.0
	// assumedLoad and assumedService stand in until an upstream reports them, in
	// seconds.
	assumedLoad    = 1.0
	assumedService = 1.0
)

// Affinity keeps each model on few upstreams: the first of its ranking, where it is
// loaded already or where a load costs least. A model spreads to its next rank when
// waiting at the first costs more than a load. It is safe for concurrent use.
type Affinity struct {
	fleet *Fleet
}

// NewAffinity returns the chooser.
func NewAffinity(f *Fleet) *Affinity {
	return &Affinity{fleet: f}
}

// Choose decides which upstream gets a request: the one of lowest expected cost among
// the first of the model's ranking, else the least busy one that suits; false where
// none does.
//
// Inputs: what each upstream last reported (its load and what it has loaded, with the
// lag of its status), the requests that this entry has there, and the operators'
// weight of full batches.
func (c *Affinity) Choose(_ time.Time, r *sandbarrow.RouteRequest) (int, bool) {
	c.fleet.mu.Lock()
	defer c.fleet.mu.Unlock()
	best, bestCost, found := 0, 0.0, false
	for rank, i := range c.fleet.rank(r) {
		u := &c.fleet.upstreams[i]
		if !u.suits(int(i), r) {
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

// any falls back to all upstreams when none of the ranking suits.
func (c *Affinity) any(r *sandbarrow.RouteRequest) (int, bool) {
	best, found := 0, false
	for i := range c.fleet.upstreams {
		u := &c.fleet.upstreams[i]
		if u.suits(i, r) && (!found || u.busy() < c.fleet.upstreams[best].busy()) {
			best, found = i, true
		}
	}
	return best, found
}

// cost is the expected wait of a request, in seconds, and what an empty batch
// costs by the operators' weight.
func (u *upstream) cost(r *sandbarrow.RouteRequest) float64 {
	load, service := u.load.LoadTime.Seconds(), u.load.ServiceTime.Seconds()
	if load == 0 {
		load = assumedLoad
	}
	if service == 0 {
		service = assumedService
	}
	busy := u.busy()
	waiting := max(0, busy-u.info.MaxRunning+1)
	cost := service * float64(waiting) / float64(u.info.MaxRunning)
	if _, ok := u.resident[r.Hash]; !ok && r.Service == "" {
		cost += load
	}
	if !r.Urgent {
		empty := 1 - min(1, float64(busy)/float64(u.info.MaxRunning))
		cost += r.BatchWeight * packing * empty
	}
	return cost
}
