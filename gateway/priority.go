package gateway

import "time"

// lowestPriority is the least urgent priority of an engine; 0 is the most urgent one.
const lowestPriority = 9

// tightSlack is the slack below which a request gets priority over others of its route. The prompts
// ahead of it at a busy engine take about 0.3 to 0.4 s.
const tightSlack = 450 * time.Millisecond

// urgency orders requests of the same configured priority by what they lose from waiting at
// an engine.
type urgency int

// Urgencies within one priority, the most urgent one first.
const (
	// urgencyTight is for a request that meets its objective only if its prefill starts soon,
	// and for a stream that the caller is already receiving.
	urgencyTight urgency = iota
	// urgencyNormal is for a request with time to spare.
	urgencyNormal
	// urgencyLate is for a request that can no longer meet its objective.
	urgencyLate
	urgencyCount
)

// urgencyOf decides the urgency of a request.
//
// Inputs: the time until its prefill must start for the response to be in time, negative if
// it is already late, and whether the caller is already receiving the response.
func urgencyOf(slack time.Duration, streaming bool) urgency {
	switch {
	case streaming:
		return urgencyTight
	case slack < 0:
		return urgencyLate
	case slack < tightSlack:
		return urgencyTight
	}
	return urgencyNormal
}

// priority returns the configured priority of a request: that of its workspace if it has
// one, otherwise that of its route.
func (c *call) priority() int {
	if c.workspace != nil && c.workspace.Priority != nil {
		return *c.workspace.Priority
	}
	return c.route.Priority
}

// enginePriority returns the priority that is sent to the engine. It orders requests by
// configured priority first and by urgency second. The urgency keeps an overloaded engine
// from making all requests late.
func (c *call) enginePriority() int {
	p := max(0, c.priority())*int(urgencyCount) + int(urgencyOf(c.objectiveSlack(c.chosen), c.committed))
	return min(lowestPriority, p)
}
