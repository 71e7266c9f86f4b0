package controller

import (
	"time"

	"sandbarrow.example/sandbarrow/enginelink"
)

// relinkTime is how long after the first gateway the others may take to be linked: a
// dial that was under way when the network came back (forward.DialTimeout, 0.35 s),
// the longest pause before the next one (0.225 s), and the way. Longer guards nothing
// and holds up loads after all processes were killed.
const relinkTime = 600 * time.Millisecond

// pinReportTime is how long a gateway's report of its pins takes to arrive once it is linked: the
// messages follow the connection at once.
const pinReportTime = 100 * time.Millisecond

// frozenAfter is how long this process must have done nothing for its gateways to have
// taken pins without it: the last status may have been a heartbeat old by then. A look at
// an engine that does not answer can take as long, which holds up unloads by relinkTime and
// no more.
const frozenAfter = enginelink.HeartbeatTimeout - enginelink.HeartbeatInterval

// unreportedPins decides whether gateways may hold pins that this controller does not
// know of. While it has no link, and before its first one after a start, gateways
// send requests to the engine without it and report their pins when they are linked
// again, one after the other. An adapter that is unloaded for the first of them may
// run a request of another. It is not safe for concurrent use: the controller's mu
// guards it.
type unreportedPins struct {
	// awaited is how many gateways were linked at most before the links were lost; 0
	// where that is not known, as after a start.
	awaited int
	// most is how many gateways were ever linked at the same time.
	most int
	// ran is when this process was last seen to run.
	ran time.Time
	// until is when all gateways have had the time to be linked and report.
	until time.Time
}

// linked notes a new link, with which so many are up.
func (u *unreportedPins) linked(now time.Time, links int) {
	switch {
	case links == 1:
		u.awaited, u.until = u.most, now.Add(relinkTime)
	case u.awaited > 0 && links >= u.awaited && now.Add(pinReportTime).Before(u.until):
		u.until = now.Add(pinReportTime) // all are back
	}
	u.most = max(u.most, links)
}

// runs notes that this process runs, and returns for how long it did not where that was
// long enough for pins to be taken without it, else 0. After a freeze it goes on with what
// the gateways sent before they gave it up; the pins that they took since come behind, or
// are lost with the connection.
func (u *unreportedPins) runs(now time.Time) time.Duration {
	frozen := now.Sub(u.ran)
	known := !u.ran.IsZero()
	u.ran = now
	if !known || frozen < frozenAfter {
		return 0
	}
	u.awaited, u.until = 0, now.Add(relinkTime)
	return frozen
}

// possible reports whether a gateway may still have to report its pins.
func (u *unreportedPins) possible(now time.Time) bool {
	return now.Before(u.until)
}
