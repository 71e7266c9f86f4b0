package controller

import (
	"math"
	"slices"
	"time"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/internal/decay"
)

const (
	// demandHalfLife is the time in which the memory of past demand halves here: an engine sees
	// some ten times the traffic of an agent's, whose memory is longer (docs/design/placement.md).
	demandHalfLife = 15 * time.Second
	// rememberedAdapters bounds the history of demand: many times the slots of an engine.
	rememberedAdapters = 512
)

// countDemand counts a request for an adapter.
func (s *slots) countDemand(now time.Time, key sandbarrow.AdapterKey) {
	d := s.demands[key]
	if d == nil {
		if len(s.demands) >= rememberedAdapters {
			s.forgetDemands(now)
		}
		d = &decay.Count{}
		s.demands[key] = d
	}
	d.Add(now, demandHalfLife)
}

// demandRate is the decayed demand of an adapter in requests per second.
func (s *slots) demandRate(now time.Time, key sandbarrow.AdapterKey) float64 {
	d := s.demands[key]
	if d == nil {
		return 0
	}
	return d.Value(now, demandHalfLife) * math.Ln2 / demandHalfLife.Seconds()
}

// forgetDemands drops the half of the demands that are least.
func (s *slots) forgetDemands(now time.Time) {
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
