// Package evict chooses which idle adapter is evicted from its slot. It is stateless.
// Agents and controllers use it.
package evict

import (
	"time"

	"sandbarrow.example/sandbarrow"
)

// Cost evicts the adapter with the lowest expected demand. This is the decayed rate of its
// requests, plus a term for recent use, which may be the start of more demand.
type Cost struct {
	// Recency bounds the weight of the last use, which counts at most as one request per
	// Recency.
	Recency time.Duration
}

// NewCost returns a Cost with default values.
func NewCost() Cost {
	return Cost{Recency: 4 * time.Minute}
}

// Evict returns the index of the adapter with the lowest expected demand.
func (c Cost) Evict(now time.Time, _ sandbarrow.SlotView, idle []sandbarrow.SlotView) (int, bool) {
	best, bestCost := -1, 0.0
	for i := range idle {
		cost := c.cost(now, &idle[i])
		if best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best, best >= 0
}

func (c Cost) cost(now time.Time, v *sandbarrow.SlotView) float64 {
	unused := now.Sub(v.LastUsed)
	// One use may be the first of many. The rate estimated from it, 1/unused, falls while
	// the adapter stays idle.
	recency := 1 / (unused.Seconds() + c.Recency.Seconds())
	return v.Demand + recency
}
