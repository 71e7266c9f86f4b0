package demand

import (
	"cmp"
	"slices"
	"time"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/internal/decay"
)

const (
	// halfLife is the half-life of the demand. It spans the pauses of callers and outlasts an outage
	// of the store of some seconds.
	halfLife = time.Minute
	// maxCounted bounds the counted adapters. It is several times the number that a list holds.
	maxCounted = 4096
	// minWeight is the least demand that a list holds: two requests within the half-life. Adapters
	// that are requested once gain nothing from a preload.
	minWeight = 1.2
)

// Counts holds the decayed demand for adapters. The zero value is ready to use. It is not safe for
// concurrent use.
type Counts struct {
	counts map[sandbarrow.AdapterKey]count
}

type count struct {
	at     time.Time
	weight Weight
}

func (c count) value(now time.Time) Weight {
	return c.weight * Weight(decay.Factor(now.Sub(c.at), halfLife))
}

// Add counts requests for an adapter.
func (c *Counts) Add(now time.Time, key sandbarrow.AdapterKey, requests int) {
	c.set(now, key, c.counts[key].value(now)+Weight(requests))
}

// Merge raises the demand to that of a list from another process, whose age does not matter: its
// weights count from now on.
func (c *Counts) Merge(now time.Time, l List) {
	for _, e := range l {
		c.set(now, e.Key, max(e.Weight, c.counts[e.Key].value(now)))
	}
}

// Busiest returns the busiest adapters with enough demand, MaxEntries at most.
func (c *Counts) Busiest(now time.Time) List {
	var list List
	for key, n := range c.counts {
		if w := n.value(now); w >= minWeight {
			list = append(list, Entry{Key: key, Weight: w})
		}
	}
	sortByWeight(list)
	return list[:min(len(list), MaxEntries)]
}

func (c *Counts) set(now time.Time, key sandbarrow.AdapterKey, w Weight) {
	if _, known := c.counts[key]; !known && len(c.counts) >= maxCounted {
		c.dropHalf(now)
	}
	if c.counts == nil {
		c.counts = map[sandbarrow.AdapterKey]count{}
	}
	c.counts[key] = count{at: now, weight: w}
}

// dropHalf drops the half of the counts with the least demand.
func (c *Counts) dropHalf(now time.Time) {
	list := make(List, 0, len(c.counts))
	for key, n := range c.counts {
		list = append(list, Entry{Key: key, Weight: n.value(now)})
	}
	sortByWeight(list)
	for _, e := range list[len(list)/2:] {
		delete(c.counts, e.Key)
	}
}

// sortByWeight sorts a list, the busiest first. Adapters of the same weight are sorted by id, so that
// all processes agree.
func sortByWeight(l List) {
	slices.SortFunc(l, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(b.Weight, a.Weight), cmp.Compare(a.Key.Model, b.Key.Model), cmp.Compare(a.Key.Adapter, b.Key.Adapter))
	})
}
