package controller

import (
	"time"

	"sandbarrow.example/sandbarrow/enginelink"
)

// relinkTime is how long after the first gateway the others may take to link. It covers a
// dial that was in progress when the network recovered (forward.DialTimeout, 0.35 s), the
// longest pause before the next one (0.225 s), and the network delay. A longer time
// protects nothing and delays loads after all processes were killed.
const relinkTime = 600 * time.Millisecond

// pinReportTime is how long a gateway's report of its pins takes to arrive once it is
// linked. The gateway sends it immediately after connecting.
const pinReportTime = 100 * time.Millisecond

// frozenAfter is how long this process must have been suspended for its gateways to have
// pinned adapters without it. The last status may have been a heartbeat interval old when
// the suspension began. A report from an engine that does not respond can take as long;
// this only delays unloads by relinkTime.
const frozenAfter = enginelink.HeartbeatTimeout - enginelink.HeartbeatInterval

// unreportedPins decides whether gateways may have pins that this controller does not know.
// While the controller has no links, also before the first one after its start, gateways
// send requests to the engine without it. When they link again, they report their pins one
// after the other. An adapter that is unloaded for the first gateway may be running a
// request of another. It is not safe for concurrent use; the controller's mu guards it.
type unreportedPins struct {
	// expectedLinks is the maximum number of gateways linked before the links were lost; 0
	// if it is unknown, as after a start.
	expectedLinks int
	// maxLinks is the maximum number of gateways ever linked at the same time.
	maxLinks int
	// lastRun is when this process was last known to be running.
	lastRun time.Time
	// waitUntil is when all gateways have had time to link and report.
	waitUntil time.Time
}

// linkOpened records a new link; links counts it.
func (u *unreportedPins) linkOpened(now time.Time, links int) {
	switch {
	case links == 1:
		u.expectedLinks, u.waitUntil = u.maxLinks, now.Add(relinkTime)
	case u.expectedLinks > 0 && links >= u.expectedLinks && now.Add(pinReportTime).Before(u.waitUntil):
		u.waitUntil = now.Add(pinReportTime) // all gateways are linked again
	}
	u.maxLinks = max(u.maxLinks, links)
}

// recordRun records that this process is running. If it was suspended for long enough that
// adapters may have been pinned without it, it returns for how long, otherwise 0. After a
// suspension the process first handles the messages that the gateways sent before they
// closed their links. Later pins are reported after those messages, or are lost with the
// connection.
func (u *unreportedPins) recordRun(now time.Time) time.Duration {
	suspended := now.Sub(u.lastRun)
	known := !u.lastRun.IsZero()
	u.lastRun = now
	if !known || suspended < frozenAfter {
		return 0
	}
	u.expectedLinks, u.waitUntil = 0, now.Add(relinkTime)
	return suspended
}

// mayExist reports whether a gateway may still have unreported pins.
func (u *unreportedPins) mayExist(now time.Time) bool {
	return now.Before(u.waitUntil)
}
