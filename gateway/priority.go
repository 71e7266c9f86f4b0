package gateway

import "time"

// lowestPriority is the least urgent priority that an engine knows; 0 is the most.
const lowestPriority = 9

// tightSlack is the slack below which a request goes before others of its route: the prompts before
// it at a busy engine take some 0.3 to 0.4 s.
const tightSlack = 450 * time.Millisecond

// urgency orders the requests of one priority of the operators' routes by what
// they lose from waiting at an engine.
type urgency int

// The urgencies within one priority, the first one first.
const (
	// urgencyTight is a request that is in time only if it is read soon, or a
	// stream that its caller reads already.
	urgencyTight urgency = iota
	// urgencyNormal is a request with time to spare.
	urgencyNormal
	// urgencyLate is a request that can't be in time any more.
	urgencyLate
	urgencies
)

// urgencyOf decides the urgency of a request.
//
// Inputs: the time until it must be read to be in time, negative where it is late
// already, and whether its caller reads the answer.
func urgencyOf(slack time.Duration, begun bool) urgency {
	switch {
	case begun:
		return urgencyTight
	case slack < 0:
		return urgencyLate
	case slack < tightSlack:
		return urgencyTight
	}
	return urgencyNormal
}

// priority decides how urgent a request is among all: as the operators say of its
// workspace, where they do, else as they say of its route.
func (c *call) priority() int {
	if c.workspace != nil && c.workspace.Priority != nil {
		return *c.workspace.Priority
	}
	return c.route.Priority
}

// enginePriority is the priority at the engine: the operators' comes first, then
// what the request loses from waiting, so that an engine with more work than
// time does not make all of it late.
func (c *call) enginePriority() int {
	p := max(0, c.priority())*int(urgencies) + int(urgencyOf(c.useful(c.chosen), c.committed))
	return min(lowestPriority, p)
}
