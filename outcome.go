package sandbarrow

import "time"

// Outcome says whether a request ran, as known when the caller gets its final response.
type Outcome string

// The outcomes of a request.
const (
	// OutcomeNotRun means that the request did not run and will not run.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeComplete means that the caller received the complete response.
	OutcomeComplete Outcome = "whole"
)

// Refusal is the error of a request that ended without a complete response.
type Refusal struct {
	// Outcome is OutcomeNotRun or OutcomeUnknown.
	Outcome Outcome
	// Reason is one of the Reason constants.
	Reason Reason
	// Detail is a sentence for the caller.
	Detail string
	// RetryAfter is how long the caller should wait before a retry; 0 means that a retry is useless.
	RetryAfter time.Duration
}

// Reason is the machine-readable cause of a Refusal.
type Reason string

// The reasons of a Refusal.
const (
	ReasonResponseBroken Reason = "answer-broken"
	ReasonBadRequest     Reason = "bad-request"
	ReasonClaimed        Reason = "claimed"
	ReasonConfiguration  Reason = "configuration"
	ReasonDeadline       Reason = "deadline"
	ReasonDraining       Reason = "draining"
	// ReasonCrashesUpstreams is for a request that upstreams have crashed on.
	ReasonCrashesUpstreams Reason = "ends-upstreams"
	ReasonIncarnation      Reason = "incarnation"
	ReasonLoadFailed       Reason = "load-failed"
	ReasonNoUpstream       Reason = "no-upstream"
	ReasonNotFound         Reason = "not-found"
	ReasonOverload         Reason = "overload"
	ReasonRateLimit        Reason = "rate-limit"
	ReasonRevoked          Reason = "revoked"
	ReasonStore            Reason = "store"
	ReasonTooLarge         Reason = "too-large"
	ReasonUnauthenticated  Reason = "unauthenticated"
	ReasonUnknownModel     Reason = "unknown-model"
	ReasonUpstream         Reason = "upstream"
	// ReasonUpstreamBackoff is for a request whose upstreams are in backoff.
	ReasonUpstreamBackoff Reason = "upstream-backoff"
	// ReasonUpstreamLimit is for a request whose upstreams have reached their request limit.
	ReasonUpstreamLimit Reason = "upstream-limit"
)

// Error returns the outcome, the reason and the detail on one line.
func (r *Refusal) Error() string {
	return string(r.Outcome) + ": " + string(r.Reason) + ": " + r.Detail
}

// NotRun returns a Refusal which guarantees that the request did not run and will not run.
func NotRun(reason Reason, detail string, retryAfter time.Duration) *Refusal {
	return &Refusal{Outcome: OutcomeNotRun, Reason: reason, Detail: detail, RetryAfter: retryAfter}
}

// Unknown returns a Refusal for a request that may have run.
func Unknown(reason Reason, detail string, retryAfter time.Duration) *Refusal {
	return &Refusal{Outcome: OutcomeUnknown, Reason: reason, Detail: detail, RetryAfter: retryAfter}
}
