package controller

import (
	"math"
	"slices"
	"time"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/internal/decay"
)

const (
	// demandHalfLife is the half-life of the demand history. An engine gets about ten times
	// the traffic of an agent, which therefore uses a longer one
	// (docs/design/placement.md).
	demandHalfLife = 15 * time.Second
	// maxTrackedAdapters bounds the demand history. It is many times the number of an
	// engine's slots.
	maxTrackedAdapters = 512
)

// countDemand counts a request for an adapter.
func (s *slots) countDemand(now time.Time, key sandbarrow.AdapterKey) {
	d := s.demands[key]
	if d == nil {
		if len(s.demands) >= maxTrackedAdapters {
			s.dropLeastDemanded(now)
		}
		d = &decay.Count{}
		s.demands[key] = d
	}
	d.Add(now, demandHalfLife)
}

// demandRate returns the decayed demand of an adapter in requests per second.
func (s *slots) demandRate(now time.Time, key sandbarrow.AdapterKey) float64 {
	d := s.demands[key]
	if d == nil {
		return 0
	}
	return d.Value(now, demandHalfLife) * math.Ln2 / demandHalfLife.Seconds()
}

// dropLeastDemanded drops the half of the history with the least demand.
func (s *slots) dropLeastDemanded(now time.Time) {
	keys := make([]sandbarrow.AdapterKey, 0, len(s.demands))
	for k := range s.demands {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b sandbarrow.AdapterKey) int {
		if s.demands[a].Value(now, demandHalfLife) < s.demands[b].Value(now, demandHalfLife) {
			return -1
		}
		return 1
	})
	for _, k := range keys[:len(keys)/2] {
		delete(s.demands, k)
	}
}
