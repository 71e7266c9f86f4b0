// Package throttle keeps the requests of many processes within the limits that upstreams name.
//
// An overloaded upstream names a limit in its responses: how many requests a second it accepts from
// all processes together. The limit is in force while responses name it. A Table stores the limits
// known to a process, and the newest response wins. A Coordinator grants single sends to limited
// upstreams. If all processes use the same Coordinator, their requests together stay within the
// limit, even if it is far below one request a second for each of them. Gates bound how often one
// process queries a Coordinator.
//
// An upstream that has just started is cold: until it is warm, it accepts a request rate that the
// operators set. This counts as a limit too, but it comes from the list of upstreams and not from
// responses, so that no response ends it.
//
// The package owns this state, which is bounded and expires, and the rule for grants. It has no
// clock, lock or connection: its callers pass the time, serialize access, choose the Coordinator
// and carry Records between processes.
package throttle

import "time"

// Rate is a number of requests a second.
type Rate float64

const (
	// minRate is the rate that is applied if an upstream names a lower one, or zero. Without any
	// requests, no process would learn that the upstream accepts more again.
	minRate Rate = 0.1
	// maxRate is the highest plausible rate, in requests a second.
	maxRate Rate = 1e6
)

// effective is the rate at which requests are granted.
func (r Rate) effective() float64 {
	return float64(max(r, minRate))
}

// Interval is the time between two requests at the effective rate.
func (r Rate) Interval() time.Duration {
	return time.Duration(float64(time.Second) / r.effective())
}
