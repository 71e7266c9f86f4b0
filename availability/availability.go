// Package availability keeps what one process knows of each upstream, and decides whether a
// request may be sent there now, and else when.
//
// It owns what starts of upstreams have announced in their answers, bounded, and forgets it. It
// has no clock, lock or connection: its callers give the time and guard it.
package availability
