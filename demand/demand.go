// Package demand keeps which adapters callers ask for, so that engines that come back empty can load
// them before the first request does.
//
// It owns the decayed counts (Counts), the list of the busiest adapters with its encoding for the
// platform's store (List), and the choice of what an engine loads (Owned). It has no clock, lock or
// connection. Controllers and gateways use it.
package demand

import (
	"math"

	"sandbarrow.example/sandbarrow"
)

// Weight is a decayed number of requests.
type Weight float64

// Entry is the demand for one adapter.
type Entry struct {
	Key    sandbarrow.AdapterKey
	Weight Weight
}

// List holds the busiest adapters, the busiest first.
type List []Entry

// significantChange is the share of the demand that must have moved to other adapters for a list to
// count as changed. A rewrite for less gains no preloads.
const significantChange = 0.1

// ChangedFrom reports whether the list differs much from another one: whether a significant share of
// the demand is for other adapters.
func (l List) ChangedFrom(other List) bool {
	before, now := other.shares(), l.shares()
	moved := 0.0
	for key, share := range now {
		moved += math.Max(0, share-before[key])
	}
	return moved > significantChange
}

// shares returns the share of the demand for each adapter.
func (l List) shares() map[sandbarrow.AdapterKey]float64 {
	total := Weight(0)
	for _, e := range l {
		total += e.Weight
	}
	shares := make(map[sandbarrow.AdapterKey]float64, len(l))
	for _, e := range l {
		shares[e.Key] = float64(e.Weight / total)
	}
	return shares
}
