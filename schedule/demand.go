package schedule

import (
	"math"
	"slices"
	"time"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/internal/decay"
)

const (
	// demandHalfLife is the half-life of an adapter's demand. Among half-lives from 40 to
	// 900 s, longer ones avoid a few hundredths of the stalls, but take up to 260 s to
	// recover from a shift in popularity (docs/design/placement.md).
	demandHalfLife = 120 * time.Second
	// maxDemands bounds the number of adapters whose demand is stored.
	maxDemands = 4096
)

// demand is an exponentially decayed rate of requests.
type demand struct {
	at time.Time
	// rate is the rate at that time, in requests per second.
	rate float64
}

// add counts one request.
func (d *demand) add(now time.Time) {
	d.rate = d.value(now) + math.Ln2/demandHalfLife.Seconds()
	d.at = now
}

// value returns the rate at the given time, in requests per second.
func (d *demand) value(now time.Time) float64 {
	return d.rate * decay.Factor(now.Sub(d.at), demandHalfLife)
}

// recordDemand adds one request to a model's demand.
func (s *Scheduler) recordDemand(now time.Time, model sandbarrow.ModelRef) {
	d := s.demands[model]
	if d == nil {
		s.trimDemands(now)
		d = &demand{at: now}
		s.demands[model] = d
	}
	d.add(now)
}

// trimDemands deletes the lower half of the demands when there are too many.
func (s *Scheduler) trimDemands(now time.Time) {
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
