package sandbarrow

import "time"

// Outcome says what is known of a request when its final answer is given.
type Outcome string

// The outcomes of a request.
const (
	// OutcomeNotRun means that the request did not run and will not run.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeComplete means that the caller has the whole answer.
	OutcomeComplete Outcome = "whole"
)

// Refusal is the error of a request that ends without a whole answer.
type Refusal struct {
	// Outcome is OutcomeNotRun or OutcomeUnknown.
	Outcome Outcome
	// Reason is one of the Reason constants.
	Reason Reason
	// Detail is a sentence for the caller.
	Detail string
	// RetryAfter tells the caller when to come back; 0 means that a repeat is useless.
	RetryAfter time.Duration
}

// Reason says why a request was refused.
type Reason string

// The reasons of a Refusal.
const (
	ReasonResponseBroken  Reason = "answer-broken"
	ReasonBadRequest    Reason = "bad-request"
	ReasonClaimed       Reason = "claimed"
	ReasonConfiguration Reason = "configuration"
	ReasonDeadline      Reason = "deadline"
	ReasonDraining      Reason = "draining"
	// ReasonCrashesUpstreams is a request under which upstreams have ended.
	ReasonCrashesUpstreams   Reason = "ends-upstreams"
	ReasonIncarnation     Reason = "incarnation"
	ReasonLoadFailed      Reason = "load-failed"
	ReasonNoUpstream      Reason = "no-upstream"
	ReasonNotFound        Reason = "not-found"
	ReasonOverload        Reason = "overload"
	ReasonRateLimit       Reason = "rate-limit"
	ReasonRevoked         Reason = "revoked"
	ReasonStore           Reason = "store"
	ReasonTooLarge        Reason = "too-large"
	ReasonUnauthenticated Reason = "unauthenticated"
	ReasonUnknownModel    Reason = "unknown-model"
	ReasonUpstream        Reason = "upstream"
	// ReasonUpstreamBackoff is a request for which the upstreams want none now.
	ReasonUpstreamBackoff Reason = "upstream-backoff"
	// ReasonUpstreamLimit is a request for which the upstreams have had what they take.
	ReasonUpstreamLimit Reason = "upstream-limit"
)

// Error returns the refusal as one line.
func (r *Refusal) Error() string {
	return string(r.Outcome) + ": " + string(r.Reason) + ": " + r.Detail
}

// NotRun returns a Refusal that promises that the request did not run.
func NotRun(reason Reason, detail string, retryAfter time.Duration) *Refusal {
	return &Refusal{Outcome: OutcomeNotRun, Reason: reason, Detail: detail, RetryAfter: retryAfter}
}

// Unknown returns a Refusal for a request that may have run.
func Unknown(reason Reason, detail string, retryAfter time.Duration) *Refusal {
	return &Refusal{Outcome: OutcomeUnknown, Reason: reason, Detail: detail, RetryAfter: retryAfter}
}
