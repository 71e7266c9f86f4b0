package engineload

import (
	"slices"
	"time"
)

// estimateNoise is the relative difference between the estimates of identical engines, whose
// streams have contexts of different lengths and whose slow periods come at different times.
const estimateNoise = 0.15

// ShrinkToward returns the curve moved toward a typical one by the noise of the estimates, so that
// differences within the noise are removed. The curves are compared under usual load, because a
// base and its addition are estimated less precisely than their sum.
func (c Curve) ShrinkToward(typical Curve) Curve {
	if !c.Known() || !typical.Known() {
		return typical
	}
	own, other := float64(c.TypicalEventTime()), float64(typical.TypicalEventTime())
	band := estimateNoise * other
	switch {
	case own > other+band:
		return typical.Scale((own - band) / other)
	case own < other-band:
		return typical.Scale((own + band) / other)
	}
	return typical
}

// Median returns the median of the known curves by their event time under usual load; unknown if
// none is known. It reorders the list.
func Median(list []Curve) Curve {
	list = slices.DeleteFunc(list, func(c Curve) bool { return !c.Known() })
	if len(list) == 0 {
		return Curve{}
	}
	slices.SortFunc(list, func(a, b Curve) int { return int(a.TypicalEventTime() - b.TypicalEventTime()) })
	return list[len(list)/2]
}

// minPublishedChange is the relative change of the event time from which a curve is published
// again. Smaller ones do not affect the gateways' choices, and each costs a long message to each
// gateway.
const minPublishedChange = 0.1

// publishedUnit is the resolution of a published curve, which keeps statuses short.
const publishedUnit = 10 * time.Microsecond

// Publish returns the curve to publish after last: last itself unless the curve differs clearly.
func Publish(last, now Curve) Curve {
	before, after := float64(last.TypicalEventTime()), float64(now.TypicalEventTime())
	if now.Known() && last.Known() && after < before*(1+minPublishedChange) && after > before*(1-minPublishedChange) {
		return last
	}
	return Curve{Base: now.Base.Round(publishedUnit), PerRunning: now.PerRunning.Round(publishedUnit)}
}
