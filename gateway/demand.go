package gateway

import (
	"sync"
	"time"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/internal/decay"
)

const (
	// demandHalfLife is the time in which the memory of requests halves: short, since it
	// must follow the recovery after a loss of power.
	demandHalfLife = 2 * time.Second
	// demandKept bounds the adapters whose demand is known. Estimate, not measured.
	demandKept = 2048
	// demandLeast is the count below which an adapter may be forgotten. Estimate, not
	// measured.
	demandLeast = 0.1
)

// demand is how often each adapter was asked for at this gateway, decayed. It is
// safe for concurrent use.
type demand struct {
	mu     sync.Mutex
	counts map[sandbarrow.AdapterKey]*decay.Count
}

func newDemand() *demand {
	return &demand{counts: map[sandbarrow.AdapterKey]*decay.Count{}}
}

// note counts a request and returns the decayed count, this one among it.
func (d *demand) note(now time.Time, k sandbarrow.AdapterKey) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.counts[k]
	if c == nil {
		c = &decay.Count{}
		d.counts[k] = c
	}
	count := c.Add(now, demandHalfLife)
	if len(d.counts) > demandKept {
		d.forget(now)
	}
	return count
}

// forget drops the adapters of almost no demand, or all where that is not enough. The caller holds mu.
func (d *demand) forget(now time.Time) {
	for k, c := range d.counts {
		if c.Value(now, demandHalfLife) < demandLeast {
			delete(d.counts, k)
		}
	}
	if len(d.counts) > demandKept {
		clear(d.counts)
	}
}
