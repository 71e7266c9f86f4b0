package controller

import (
	"time"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/engineload"
	"sandbarrow.example/sandbarrow/readspeed"
)

// engineCurve learns the time between two events of the engine's streams from its reports. It is
// not safe for concurrent use; the controller's mu guards it.
type engineCurve struct {
	// enabled is set if the engine's load is followed (followEngineLoad).
	enabled bool
	// clock follows the events of the running streams.
	clock     engineload.EventClock
	estimator engineload.Estimator
	sampler   engineload.Sampler
	// lastPublished is the curve that was last published to gateways.
	lastPublished engineload.Curve
	// prefilledTokens is the count of prefilled tokens at the last sample.
	prefilledTokens int
	// running is the number of runs in the last report.
	running int
}

// observe adds a report. prefilledTokens counts the prompt tokens that the engine has prefilled so
// far, toPrefill those that it has yet to prefill, and speed is its prefill speed.
func (e *engineCurve) observe(now time.Time, runs []sandbarrow.EngineRun, prefilledTokens, toPrefill int, speed readspeed.Speed) {
	if !e.enabled {
		return
	}
	events := make(map[engineload.RunID]int, len(runs))
	for i := range runs {
		events[engineload.RunID(runs[i].ID)] = runs[i].Events
	}
	e.running = len(runs)
	e.clock.Add(now, events, prefilledTokens, toPrefill)
	prefill := speed.PrefillTime(prefilledTokens - e.prefilledTokens)
	interval := e.sampler.Interval(now)
	if sample, ok := e.sampler.Add(now, events, prefill); ok {
		e.estimator.Observe(now, sample.Running, sample.EventTime)
	}
	if e.sampler.Interval(now) != interval {
		e.prefilledTokens = prefilledTokens
	}
	e.estimator.Age(now)
}

// adopt starts from the curve that a gateway reports.
func (e *engineCurve) adopt(c engineload.Curve) {
	e.estimator.Adopt(c)
}

// engineRestarted forgets the runs of the engine's previous start.
func (e *engineCurve) engineRestarted() {
	e.clock, e.running = engineload.EventClock{}, 0
	e.sampler.Reset()
}

// published returns the curve to publish to gateways. It stays the same until the estimate has
// changed clearly.
func (e *engineCurve) published() engineload.Curve {
	if !e.enabled {
		return engineload.Curve{}
	}
	e.lastPublished = engineload.Publish(e.lastPublished, e.estimator.Curve())
	return e.lastPublished
}
