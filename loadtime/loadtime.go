// Package loadtime estimates how long a load from the weight store takes, by how many are
// under way. No constant holds: the deployments seen carry 8 to 72 loads at once before
// each takes longer. It owns the estimates and has no clock or connection; gateways use it.
package loadtime

import "time"

const (
	// firstLoadDelay is the time of a load alone that is assumed until one was seen, with
	// its order: 0.26 s on the deployments seen.
	firstLoadDelay = 270 * time.Millisecond
	// firstCarried is how many loads the weight store is taken to carry at once until
	// more were seen: the least of the deployments seen.
	firstCarried = 8
	// contendedLoad is how many times the time alone a load takes at least to show
	// contention; the controller's look at its engine adds up to 15 ms to 250.
	contendedLoad = 1.25
	// carriedGain is how far one contended load moves the estimate of what the store carries: some
	// ten loads show it, and a crowd brings them within a second.
	carriedGain = 0.1
	// aloneGain is how far a load moves the time alone up, while few are under way.
	aloneGain = 0.1
)

// Model is how long loads from the weight store take: all of them alike alone, and
// each proportionally longer beyond a number at once. It holds estimates, learnt from the
// loads that controllers report.
type Model struct {
	// BaseTime is the time of one load with its order.
	BaseTime time.Duration
	// Capacity is how many loads the store carries at once before each takes longer.
	Capacity float64
}

// NewModel returns what is assumed before any load was seen.
func NewModel() Model {
	return Model{BaseTime: firstLoadDelay, Capacity: firstCarried}
}

// Slowdown is how many times its time alone one more load takes beside those under way.
func (m *Model) Slowdown(underWay int) float64 {
	return max(1, float64(underWay+1)/m.Capacity)
}

// Delay is the time of one more load beside those under way.
func (m *Model) Delay(underWay int) time.Duration {
	return time.Duration(float64(m.BaseTime) * m.Slowdown(underWay))
}

// Observe learns from one load: how long it took, and how many were under way, itself
// among them, as they were seen last (half a second old at most).
func (m *Model) Observe(took time.Duration, underWay int) {
	if took <= 0 {
		return
	}
	loads := float64(max(1, underWay))
	switch {
	case took < m.BaseTime:
		m.BaseTime = took
	case loads <= max(1, m.Capacity/2):
		m.BaseTime += time.Duration(aloneGain * float64(took-m.BaseTime))
	}
	slowdown := float64(took) / float64(m.BaseTime)
	if slowdown < contendedLoad {
		m.Capacity = max(m.Capacity, loads)
		return
	}
	m.Capacity = max(1, m.Capacity+carriedGain*(loads/slowdown-m.Capacity))
}
