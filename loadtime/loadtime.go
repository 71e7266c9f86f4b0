// Package loadtime estimates how long a load from the weight store takes, depending on the number
// of loads in progress. No constant fits: the deployments seen sustain 8 to 72 parallel loads
// before each one takes longer. The package owns the estimates and has no clock or connection;
// gateways use it.
package loadtime

import "time"

const (
	// initialBaseTime is the assumed time of one uncontended load, including the order to the
	// engine, until one was observed. It is 0.26 s in the deployments seen.
	initialBaseTime = 270 * time.Millisecond
	// initialCapacity is the assumed number of loads that the weight store sustains at once, until
	// more were observed. It is the lowest of the deployments seen.
	initialCapacity = 8
	// contentionFactor is the multiple of the base time from which a load counts as contended. The
	// controller's status check of its engine adds up to 15 ms to a load of 250 ms.
	contentionFactor = 1.25
	// capacityGain is the weight of one contended load in the estimate of the capacity. About ten
	// loads are enough to learn it, and under heavy load they occur within a second.
	capacityGain = 0.1
	// baseTimeGain is the weight of one load in raising the base time, while few loads are in
	// progress.
	baseTimeGain = 0.1
)

// Model estimates how long loads from the weight store take. Uncontended loads all take the same
// time. Beyond the store's capacity, each takes proportionally longer. The estimates are learned
// from the loads that controllers report.
type Model struct {
	// BaseTime is the time of one uncontended load, including the order to the engine.
	BaseTime time.Duration
	// Capacity is how many loads the store sustains at once before each takes longer.
	Capacity float64
}

// NewModel returns the assumed model before any load was observed.
func NewModel() Model {
	return Model{BaseTime: initialBaseTime, Capacity: initialCapacity}
}

// Slowdown is the time of one more load beside those in progress, as a multiple of the base time.
func (m *Model) Slowdown(inProgress int) float64 {
	return max(1, float64(inProgress+1)/m.Capacity)
}

// Delay is the time of one more load beside those in progress.
func (m *Model) Delay(inProgress int) time.Duration {
	return time.Duration(float64(m.BaseTime) * m.Slowdown(inProgress))
}

// Observe learns from one load. inProgress is the last known number of loads in progress, including
// this one, and at most half a second old.
func (m *Model) Observe(took time.Duration, inProgress int) {
	if took <= 0 {
		return
	}
	loads := float64(max(1, inProgress))
	switch {
	case took < m.BaseTime:
		m.BaseTime = took
	case loads <= max(1, m.Capacity/2):
		m.BaseTime += time.Duration(baseTimeGain * float64(took-m.BaseTime))
	}
	slowdown := float64(took) / float64(m.BaseTime)
	if slowdown < contentionFactor {
		m.Capacity = max(m.Capacity, loads)
		return
	}
	m.Capacity = max(1, m.Capacity+capacityGain*(loads/slowdown-m.Capacity))
}
