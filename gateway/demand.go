package gateway

import (
	"sync"
	"time"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/internal/decay"
)

const (
	// demandHalfLife is the time in which the memory of requests halves.
	demandHalfLife = 2 * time.Second
	// demandKept bounds the adapters whose demand is known.
	demandKept = 2048
	// demandLeast is the count below which an adapter may be forgotten.
	demandLeast = 0.1
)

// demand is how often each adapter was asked for lately, at this gateway.
type demand struct {
	mu     sync.Mutex
	counts map[sandbarrow.AdapterKey]*decay.Count
}

func newDemand() *demand {
	return &demand{counts: map[sandbarrow.AdapterKey]*decay.Count{}}
}

// note counts a request and returns how many there were lately, this one among
// them.
func (d *demand) note(now time.Time, k sandbarrow.AdapterKey) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.counts[k]
	if c == nil {
		c = &decay.Count{}
		d.counts[k] = c
	}
	lately := c.Add(now, demandHalfLife)
	if len(d.counts) > demandKept {
		d.forget(now)
	}
	return lately
}

// forget drops what has not been asked for lately, or all where that is not
// enough. The caller holds mu.
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
