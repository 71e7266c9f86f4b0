// Package availability keeps what one process knows of each upstream, and decides whether a
// request may be sent there now, and else when.
//
// It brings together the list of upstreams, the reports of the controllers beside engines, what
// upstreams announce in their answers, the limits that they name (package throttle has the
// rules of these) and the outcomes of the process's own requests. It owns what it remembers of
// the last three, by the starts of upstreams, bounded, and forgets it. It has no clock, lock or
// connection: its callers give the time and guard it.
package availability
