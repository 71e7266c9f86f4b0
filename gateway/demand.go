package gateway

import (
	"math"
	"sync"
	"time"

	"sandbarrow.example/sandbarrow"
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
	counts map[sandbarrow.AdapterKey]decayed
}

// decayed is a count at a time; it halves with each demandHalfLife after it.
type decayed struct {
	at    time.Time
	count float64
}

func (d decayed) value(now time.Time) float64 {
	return d.count * math.Exp2(-now.Sub(d.at).Seconds()/demandHalfLife.Seconds())
}

func newDemand() *demand {
	return &demand{counts: map[sandbarrow.AdapterKey]decayed{}}
}

// note counts a request and returns how many there were lately, this one among
// them.
func (d *demand) note(now time.Time, k sandbarrow.AdapterKey) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := decayed{at: now, count: d.counts[k].value(now) + 1}
	d.counts[k] = c
	if len(d.counts) > demandKept {
		d.forget(now)
	}
	return c.count
}

// forget drops what has not been asked for lately, or all where that is not
// enough. The caller holds mu.
func (d *demand) forget(now time.Time) {
	for k, c := range d.counts {
		if c.value(now) < demandLeast {
			delete(d.counts, k)
		}
	}
	if len(d.counts) > demandKept {
		clear(d.counts)
	}
}
