package schedule

import (
	"math"
	"slices"
	"time"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/internal/decay"
)

const (
	// demandHalfLife is the half-life of an adapter's demand. Half-lives from 40 to
	// 900 s were tried: longer ones save a few hundredths of the stalls and take up to
	// 260 s to recover from a shift of popularity (docs/design/placement.md).
	demandHalfLife = 120 * time.Second
	// maxDemands bounds the adapters whose demand is remembered.
	maxDemands = 4096
)

// demand is a decayed rate of requests.
type demand struct {
	at time.Time
	// rate is in requests a second.
	rate float64
}

// add counts one request.
func (d *demand) add(now time.Time) {
	d.rate = d.value(now) + math.Ln2/demandHalfLife.Seconds()
	d.at = now
}

// value is the rate at a time, in requests a second.
func (d *demand) value(now time.Time) float64 {
	return d.rate * decay.Factor(now.Sub(d.at), demandHalfLife)
}

// count adds one request to a model's demand.
func (s *Scheduler) count(now time.Time, model sandbarrow.ModelRef) {
	d := s.demands[model]
	if d == nil {
		s.forgetDemands(now)
		d = &demand{at: now}
		s.demands[model] = d
	}
	d.add(now)
}

// forgetDemands drops the lowest half when there are too many.
func (s *Scheduler) forgetDemands(now time.Time) {
	if len(s.demands) < maxDemands {
		return
	}
	rates := make([]float64, 0, len(s.demands))
	for _, d := range s.demands {
		rates = append(rates, d.value(now))
	}
	slices.Sort(rates)
	median := rates[len(rates)/2]
	for model, d := range s.demands {
		if d.value(now) <= median {
			delete(s.demands, model)
		}
	}
}
