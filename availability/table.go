package availability

import (
	"cmp"
	"time"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/throttle"
)

// Reason says why an upstream accepts no requests now.
type Reason string

const (
	// Backoff means that the upstream has refused a request and is in backoff.
	Backoff Reason = "backoff"
	// Draining means that the upstream will exit soon, according to the list, its controller or its own
	// notice.
	Draining Reason = "draining"
	// Evacuated means that the operators have evacuated the upstream's failure domain.
	Evacuated Reason = "evacuated"
	// Limited means that the upstream has received as many requests as its limit allows.
	Limited Reason = "limit"
	// Replaced means that the engine has restarted and the list does not show it yet. The engine
	// would refuse a request that names the listed instance, which would cost a retry.
	Replaced Reason = "replaced"
	// Unlisted means that the upstream was removed from the list.
	Unlisted Reason = "unlisted"
	// Unreachable means that the engine does not respond to its controller.
	Unreachable Reason = "unreachable"
)

// Report is the last report of the controller beside an engine. The zero Report is for an upstream
// without a controller, or whose controller is not linked.
type Report struct {
	Draining bool
	// Instance is the engine's instance; empty if it is not known.
	Instance sandbarrow.InstanceID
	// Started is when the engine started; 0 if it does not report it, or if the last report failed.
	Started     sandbarrow.UnixMillis
	Unreachable bool
}

// started returns when the engine started, or 0 if that is not known.
func (r *Report) started() sandbarrow.UnixMillis {
	return cmp.Or(r.Instance.Started(), r.Started)
}

// isOfAnotherStart reports whether the engine has started again since an entry was written.
func (r *Report) isOfAnotherStart(id sandbarrow.InstanceID) bool {
	if r.Instance != "" {
		return r.Instance != id
	}
	return r.Started != 0 && id.Started() != 0 && r.Started != id.Started()
}

// Upstream is what other processes have reported about an upstream.
type Upstream struct {
	// ColdRate is the request rate that the upstream accepts from all processes together while it
	// is cold; 0 means any.
	ColdRate sandbarrow.RequestRate
	// Evacuated says that the operators have evacuated the upstream's failure domain.
	Evacuated bool
	// Instance is the upstream's entry in the list, or nil if it was removed from the list.
	Instance *sandbarrow.Instance
	// Report is the last report of its controller.
	Report Report
}

// Check is the result of checking an upstream for a request.
type Check struct {
	// Blocked is why the upstream accepts no requests now; empty if it accepts them.
	Blocked Reason
	// Wait is the time until the upstream may accept a request; 0 if that is not known.
	Wait time.Duration
	// InFlight is the number of this process's requests in flight at the upstream.
	InFlight int
	// Limited says that the upstream names a limit or is cold.
	Limited bool
	// Penalty is the delay that the upstream's failures and limit count as when upstreams are
	// compared. It is negative for an upstream whose limit is to be checked again.
	Penalty time.Duration
}

// Table is one process's view of all upstreams. The zero Table is empty.
type Table struct {
	Gates    throttle.Gates
	Notices  Notices
	Outcomes Outcomes
}

// Check decides whether a request may be sent to an upstream now, and otherwise when.
//
// Inputs: what others have reported about the upstream, which is listed, and the state of this
// table.
func (t *Table) Check(now time.Time, u Upstream) Check {
	in, r := u.Instance, u.Report
	t.applyCold(now, &u)
	gate := t.Gates.Check(now, in.ID)
	backoff := t.Notices.Check(now, in.ID).Backoff
	result := Check{Limited: gate.Limited, Penalty: gate.Penalty}
	switch {
	case r.Draining || t.Notices.drains(now, in):
		result.Blocked = Draining
	case u.Evacuated:
		result.Blocked = Evacuated
	case r.Unreachable:
		result.Blocked = Unreachable
	case r.isOfAnotherStart(in.ID):
		result.Blocked = Replaced
	case backoff > 0:
		result.Blocked, result.Wait = Backoff, backoff
	case gate.Wait > 0:
		result.Blocked, result.Wait = Limited, gate.Wait
	}
	inFlight, penalty := t.Outcomes.Check(now, in.ID)
	result.InFlight = inFlight
	result.Penalty += penalty
	return result
}

// Accepts decides whether a request that chose an upstream a while ago may still be sent there. If
// not, it returns the reason.
//
// Inputs: what others have reported about the upstream by now, and its notices. Its limit is not
// checked here, but by the coordinator that grants the send.
func (t *Table) Accepts(now time.Time, u Upstream) (Reason, bool) {
	if u.Instance == nil {
		return Unlisted, false
	}
	t.applyCold(now, &u)
	switch {
	case t.Notices.drains(now, u.Instance):
		return Draining, false
	case u.Evacuated:
		return Evacuated, false
	case t.Notices.Check(now, u.Instance.ID).Backoff > 0:
		return Backoff, false
	}
	return "", true
}

// applyCold applies what the list says about a cold start of an upstream.
func (t *Table) applyCold(now time.Time, u *Upstream) {
	t.Gates.SetCold(now, u.Instance.ID, throttle.Cold{Rate: throttle.Rate(u.ColdRate), Until: u.Instance.ColdUntil})
}

// End counts the outcome of a request that Outcomes.Begin has counted. A refusal with a backoff is
// not counted as a failure: the penalty would outlast the backoff.
func (t *Table) End(now time.Time, id sandbarrow.InstanceID, failed bool) {
	if failed && t.Notices.Check(now, id).Backoff > 0 {
		t.Outcomes.Discard(id)
		return
	}
	t.Outcomes.End(now, id, failed)
}
