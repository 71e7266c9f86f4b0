// Package evict holds the rule by which an idle adapter gives up its slot. It
// keeps no state; agents and controllers use it.
package evict

import (
	"time"

	"sandbarrow.example/sandbarrow"
)

// Cost evicts the adapter whose loss costs least: the one with the lowest
// decayed demand, where recent use counts as demand that is not seen yet.
type Cost struct {
	// Recency bounds what the last use counts: at most as one request in that time.
	Recency time.Duration
}

// NewCost returns the rule with its defaults.
func NewCost() Cost {
	return Cost{Recency: 4 * time.Minute}
}

// Evict returns the adapter that costs least.
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
	// One use may be the first of many: the estimate 1/unused falls as the
	// adapter stays idle.
	recency := 1 / (unused.Seconds() + c.Recency.Seconds())
	return v.Demand + recency
}
