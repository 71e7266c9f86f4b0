package engineload

import (
	"math"
	"time"
)

// A prompt that an engine prefills lengthens the current gap of each stream there. The chance that
// the gap then exceeds its target is a power of the usual gap over the target: usual steps rarely
// exceed it, and engines are at times 2.5 times as slow. On a deployment with a target of 300 ms,
// 5 to 25 in 100 streams exceeded it at engines with 30 to 37 ms an event and 70 to 90 in 100 at 65
// to 110 ms, each with some twenty running requests.
const (
	// riskAtTarget is the chance for a usual gap that equals the target.
	riskAtTarget = 0.41
	// riskExponent is how fast it falls for shorter gaps.
	riskExponent = 2.4
)

// GapRisk estimates the chance that a gap exceeds its target, from its usual length. It is 0
// without a target.
func GapRisk(usual, target time.Duration) float64 {
	if target <= 0 || usual <= 0 {
		return 0
	}
	return min(1, riskAtTarget*math.Pow(float64(usual)/float64(target), riskExponent))
}

// ExpectedPause returns how long a pause is on average that exceeds its target, by the power that GapRisk
// follows.
func ExpectedPause(target time.Duration) time.Duration {
	const factor = riskExponent / (riskExponent - 1)
	return time.Duration(factor * float64(target))
}

// StreamRisk estimates the chance that the largest gap of a stream exceeds its target beside so
// many running requests. During the life of the stream, about as many others begin, and the engine
// spends the time prefill on the prompt of each.
func (c Curve) StreamRisk(running int, prefill, target time.Duration) float64 {
	return 1 - math.Pow(1-GapRisk(c.EventTime(running)+prefill, target), float64(max(running, 0)))
}

// AddedRisk estimates how many of the running streams exceed a gap target because of one prompt:
// those that would not have done so for another one. prefill is the time that the engine spends on
// the prompt, and typical the time that it spends on a prompt of usual length.
func (c Curve) AddedRisk(running int, prefill, typical, target time.Duration) float64 {
	intact := 1 - c.StreamRisk(running, typical, target)
	return float64(max(running, 0)) * intact * GapRisk(c.EventTime(running)+prefill, target)
}
