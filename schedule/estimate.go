package schedule

import (
	"math"
	"time"
)

// estimateHalfLife is how fast an estimate that gets no measurements falls back to what is assumed.
// Without it a high estimate would refuse the very requests that could show that it is out of date
// (docs/design/queueing.md).
const estimateHalfLife = 10 * time.Second

// estimate is a smoothed measurement of a time.
type estimate struct {
	assumed time.Duration
	at      time.Time
	value   time.Duration
	weight  float64
}

func newEstimate(assumed time.Duration, weight float64) estimate {
	return estimate{assumed: assumed, value: assumed, weight: weight}
}

// add counts one measurement.
func (e *estimate) add(now time.Time, measured time.Duration) {
	old := e.get(now)
	e.value = old + time.Duration(e.weight*float64(measured-old))
	e.at = now
}

// get is the estimate now.
func (e *estimate) get(now time.Time) time.Duration {
	if e.value <= e.assumed {
		return e.value
	}
	left := math.Exp2(-float64(now.Sub(e.at)) / float64(estimateHalfLife))
	return e.assumed + time.Duration(float64(e.value-e.assumed)*left)
}
