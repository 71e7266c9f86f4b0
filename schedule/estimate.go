package schedule

import (
	"math"
	"time"
)

// estimateHalfLife is the half-life with which a high estimate falls back to its initial
// value while there are no measurements. Without this decay, a high estimate would refuse
// the very requests that could show that it is out of date (docs/design/queueing.md).
const estimateHalfLife = 10 * time.Second

// estimate is an exponentially smoothed measurement of a duration.
type estimate struct {
	initial time.Duration
	at      time.Time
	value   time.Duration
	weight  float64
}

func newEstimate(initial time.Duration, weight float64) estimate {
	return estimate{initial: initial, value: initial, weight: weight}
}

// add counts one measurement.
func (e *estimate) add(now time.Time, measured time.Duration) {
	old := e.get(now)
	e.value = old + time.Duration(e.weight*float64(measured-old))
	e.at = now
}

// get returns the current estimate.
func (e *estimate) get(now time.Time) time.Duration {
	if e.value <= e.initial {
		return e.value
	}
	left := math.Exp2(-float64(now.Sub(e.at)) / float64(estimateHalfLife))
	return e.initial + time.Duration(float64(e.value-e.initial)*left)
}
