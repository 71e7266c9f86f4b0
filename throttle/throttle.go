// Package throttle holds the requests of many processes to the limits that upstreams name.
//
// An upstream in need names in its answers how many requests a second it takes from all
// processes together, for as long as it says so. A Table keeps what a process knows of such
// limits, the newest answer first. A Keeper grants single sends to limited upstreams; where
// all processes ask the same one, what they send together stays within the limit, however far
// that is below one request a second for each of them. Gates bound how often one process asks.
//
// The package owns that memory, bounded and forgotten, and the rule that grants. It has no
// clock, lock or connection: its callers give the time, guard it, choose the Keeper and carry
// Records between processes.
package throttle

import "time"

// Rate is a number of requests a second.
type Rate float64

const (
	// leastRate is at how many requests a second an upstream is asked that names less, or
	// none at all: without any request nobody would learn that it takes more again.
	leastRate Rate = 0.1
	// mostRate is a bound on what can be meant, in requests a second.
	mostRate Rate = 1e6
)

// held is the rate at which requests are granted.
func (r Rate) held() float64 {
	return float64(max(r, leastRate))
}

// Interval is the time between two requests at the rate that is held.
func (r Rate) Interval() time.Duration {
	return time.Duration(float64(time.Second) / r.held())
}
