package availability

import (
	"time"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/throttle"
)

// Reason says why an upstream accepts no request now.
type Reason string

// The reasons.
const (
	// Backoff is an upstream that has refused a request and wants none for a time.
	Backoff Reason = "backoff"
	// Draining is an upstream that ends soon, as the list, its controller or itself says.
	Draining Reason = "draining"
	// Limited is an upstream that has had what it accepts by its limit.
	Limited Reason = "limit"
	// Replaced is an engine that has started again, which the list does not show yet: it would
	// refuse what names the instance of the list, at the price of a retry.
	Replaced Reason = "replaced"
	// Unlisted is an upstream that left the list.
	Unlisted Reason = "unlisted"
	// Unreachable is an engine that does not answer its controller.
	Unreachable Reason = "unreachable"
)

// Report is what the controller beside an engine has reported last. The zero Report is that of an
// upstream without a controller, or whose controller is not linked.
type Report struct {
	Draining bool
	// Instance is the engine's start; empty where it is not known.
	Instance    sandbarrow.InstanceID
	Unreachable bool
}

// Check is one look at an upstream on behalf of a request.
type Check struct {
	// Blocked is why the upstream accepts no request now; empty where it does.
	Blocked Reason
	// Wait is how long it is until the upstream may accept one; 0 where that is not known.
	Wait time.Duration
	// InFlight counts this process's requests there.
	InFlight int
	// Limited says that the upstream names a limit.
	Limited bool
	// Penalty is the delay that is worth as much as its failures and its limit.
	Penalty time.Duration
}

// Table keeps what a process knows of upstreams. The zero Table knows nothing.
type Table struct {
	Gates    throttle.Gates
	Notices  Notices
	Outcomes Outcomes
}

// Check decides whether a request may be sent to an upstream now, and else when.
//
// Inputs: the upstream's entry in the list, the last report of its controller, and what this
// table keeps.
func (t *Table) Check(now time.Time, in *sandbarrow.Instance, r Report) Check {
	wait, price := t.Gates.Check(now, in.ID)
	backoff := t.Notices.Check(now, in.ID).Backoff
	l := Check{Limited: price != 0, Penalty: price}
	switch {
	case r.Draining || t.Notices.drains(now, in):
		l.Blocked = Draining
	case r.Unreachable:
		l.Blocked = Unreachable
	case r.Instance != "" && r.Instance != in.ID:
		l.Blocked = Replaced
	case backoff > 0:
		l.Blocked, l.Wait = Backoff, backoff
	case wait > 0:
		l.Blocked, l.Wait = Limited, wait
	}
	inFlight, penalty := t.Outcomes.Check(now, in.ID)
	l.InFlight = inFlight
	l.Penalty += penalty
	return l
}

// Accepts decides whether a request that chose an upstream a while ago may still be sent there;
// else it says why not.
//
// Inputs: the upstream's entry in the list as it is now, nil where it has left the list, and what
// it has announced. Its limit is for whoever grants the send.
func (t *Table) Accepts(now time.Time, listed *sandbarrow.Instance) (Reason, bool) {
	switch {
	case listed == nil:
		return Unlisted, false
	case t.Notices.drains(now, listed):
		return Draining, false
	case t.Notices.Check(now, listed.ID).Backoff > 0:
		return Backoff, false
	}
	return "", true
}

// End counts the outcome of a request that Outcomes.Begin has counted. A refusal that says when
// to come back is no failure: the upstream would be avoided for longer than it wants.
func (t *Table) End(now time.Time, id sandbarrow.InstanceID, failed bool) {
	if failed && t.Notices.Check(now, id).Backoff > 0 {
		t.Outcomes.Withdraw(id)
		return
	}
	t.Outcomes.End(now, id, failed)
}
