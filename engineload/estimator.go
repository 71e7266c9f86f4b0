package engineload

import (
	"math"
	"time"
)

const (
	// gain is the weight of one sample. At four samples a second, the estimate has followed a
	// change of the engine's speed after some five seconds.
	gain = 0.08
	// maxLogError bounds the effect of one sample. It applies to the logarithm of the ratio of
	// observed to expected event time. Engines have slow periods of 0.6 s; the bound makes the
	// estimate follow the majority of samples.
	maxLogError = 0.4
	// minSamples is the number of samples from which an estimate that was not adopted is known.
	minSamples = 8
	// agingDelay is the time without a sample after which the estimate ages toward the typical
	// curve, and agingHalfLife is how fast it does. Both are long compared with the idle times
	// of an engine that gets few streams because it is slow.
	agingDelay    = 5 * time.Second
	agingHalfLife = 2 * time.Minute
)

// The bounds of an estimate: some ten times faster and slower than any engine seen.
const (
	minBase       = time.Millisecond
	maxBase       = time.Second
	minPerRunning = time.Microsecond
	maxPerRunning = 50 * time.Millisecond
)

// Estimator learns the curve of one engine. Its zero value is unknown. It is not safe for
// concurrent use.
type Estimator struct {
	base, perRunning float64 // nanoseconds
	samples          int
	adopted          bool
	// sampledAt is the time of the last sample, and agedAt that of the last sample or aging.
	sampledAt, agedAt time.Time
	// typical is the curve toward which the estimate ages.
	typical Curve
}

// Observe updates the estimate with a sample: the mean time between two events of the streams that
// ran, and how many requests ran.
func (e *Estimator) Observe(now time.Time, running float64, eventTime time.Duration) {
	if running <= 0 || eventTime <= 0 {
		return
	}
	e.initialize(Prior)
	x := running / typicalRunning
	expected := e.base + e.perRunning*running
	logError := min(max(math.Log(float64(eventTime)/expected), -maxLogError), maxLogError)
	step := e.gain() * logError * expected / (1 + x*x)
	e.set(e.base+step, e.perRunning+step*x/typicalRunning)
	e.samples++
	e.sampledAt, e.agedAt = now, now
}

// gain returns the weight of the next sample. The first samples of an estimate without an adopted
// start weigh more.
func (e *Estimator) gain() float64 {
	if e.adopted {
		return gain
	}
	return max(gain, 1/float64(e.samples+1))
}

// Adopt starts from an estimate of another process, unless a sample was already observed.
func (e *Estimator) Adopt(c Curve) {
	if e.samples > 0 || !c.Known() {
		return
	}
	e.set(float64(c.Base), float64(c.PerRunning))
	e.adopted, e.typical = true, c
}

// Age moves the estimate toward the typical curve if there was no sample for some seconds. It is
// called repeatedly.
func (e *Estimator) Age(now time.Time) {
	if e.base == 0 || now.Sub(e.sampledAt) < agingDelay {
		return
	}
	if e.sampledAt.IsZero() {
		e.sampledAt, e.agedAt = now, now // adopted
		return
	}
	since := now.Sub(e.agedAt)
	e.agedAt = now
	typical := e.typical
	if !typical.Known() {
		typical = Prior
	}
	keep := math.Exp2(-float64(since) / float64(agingHalfLife))
	e.set(keep*e.base+(1-keep)*float64(typical.Base), keep*e.perRunning+(1-keep)*float64(typical.PerRunning))
}

// Curve returns the estimate. It is unknown before minSamples samples, unless one was adopted.
func (e *Estimator) Curve() Curve {
	if !e.adopted && e.samples < minSamples {
		return Curve{}
	}
	return Curve{Base: time.Duration(e.base), PerRunning: time.Duration(e.perRunning)}
}

// initialize sets the initial estimate if there is none yet.
func (e *Estimator) initialize(c Curve) {
	if e.base == 0 {
		e.set(float64(c.Base), float64(c.PerRunning))
	}
}

// set sets the estimate within its bounds.
func (e *Estimator) set(base, perRunning float64) {
	e.base = min(max(base, float64(minBase)), float64(maxBase))
	e.perRunning = min(max(perRunning, float64(minPerRunning)), float64(maxPerRunning))
}
