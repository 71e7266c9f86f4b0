package gateway

import (
	"net/http"
	"time"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/forward"
	"sandbarrow.example/sandbarrow/retry"
	"sandbarrow.example/sandbarrow/route"
)

// This file decides when a request may be sent again, what follows an attempt, and which
// status ends a failed call. The rules are pure functions; package retry has the budgets
// that bound retries.

// minSendTime is the time that must remain in a call for a request to be sent. Less is not enough
// for a response.
const minSendTime = 20 * time.Millisecond

// permission is the decision whether a request may be sent to an upstream.
type permission int

// Permissions.
const (
	// sendFree is for a first attempt, which does not use the retry budget.
	sendFree permission = iota
	// sendBudgeted is for a retry, which needs a unit of the retry budget.
	sendBudgeted
	// sendNever is for a request that must not be sent again.
	sendNever
)

// permissionToSend decides whether a request may be sent to one more upstream.
//
// Inputs: the number of upstreams that received the request, the number that may have run
// it, and the route's kind and maximum number of attempts. A request that may have run is
// sent again only if its route allows it to run twice, and to no more upstreams than the
// route allows. A request that was only refused, and did not run, may be sent to one more
// upstream than that. Both use the retry budget, because each attempt adds load to the fleet.
func permissionToSend(a *attempts, r *route.Route) permission {
	switch {
	case a.sent == 0:
		return sendFree
	case a.ran > 0 && (!r.Retryable() || a.ran >= r.MaxAttempts):
		return sendNever
	case a.sent > r.MaxAttempts:
		return sendNever
	}
	return sendBudgeted
}

// maySend reports whether the request may be sent to one more upstream. For a retry it
// acquires a unit of the retry budget.
func (c *call) maySend() bool {
	switch permissionToSend(&c.attempts, c.route) {
	case sendFree:
		return true
	case sendNever:
		return false
	}
	return c.gateway.retryBudget(c.service.ID).AllowRetry()
}

// attemptResult is the result of an attempt at an engine.
type attemptResult int

// Results of an attempt.
const (
	// resultAnswered means that the caller has received the complete response.
	resultAnswered attemptResult = iota
	// resultBroken means that the attempt failed and the request may have run.
	resultBroken
	// resultFailed means that the engine responded with an error. The response is stored in
	// the call's failure field.
	resultFailed
	// resultNotRun means that the request did not run.
	resultNotRun
	// resultNotSent means that no byte of the request was sent.
	resultNotSent
)

// String returns the result's name in logs.
func (r attemptResult) String() string {
	return [...]string{"answered", "broken", "failed", "not-run", "not-sent"}[r]
}

// nextStep is what a call does after an attempt at an engine.
type nextStep int

// Steps after an attempt.
const (
	// stepRetry looks for another engine, if permissionToSend allows it.
	stepRetry nextStep = iota
	// stepDone ends the call: the caller has received the response.
	stepDone
	// stepAbort aborts a response that the caller has received in part.
	stepAbort
	// stepPassFailure passes the engine's error response to the caller.
	stepPassFailure
)

// afterAttempt decides what follows an attempt at an engine.
//
// Inputs: the result of the attempt, whether the caller has received a part of the
// response, and whether the request may run twice. mayHaveRun is set if the request may
// have run at the engine. why is the reason that is reported if no other engine responds.
func afterAttempt(result attemptResult, committed, repeatable bool) (next nextStep, mayHaveRun bool, why reason) {
	switch result {
	case resultAnswered:
		return stepDone, false, ""
	case resultNotRun:
		return stepRetry, false, reasonRefused
	case resultNotSent:
		return stepRetry, false, reasonNoUpstream
	case resultFailed:
		if !repeatable {
			return stepPassFailure, true, reasonBroken
		}
	case resultBroken:
		if committed && !repeatable {
			return stepAbort, true, reasonBroken
		}
	}
	return stepRetry, true, reasonBroken
}

// endStatus decides the status of a failed call. A 503 guarantees that the request did not
// run, therefore it is used only if no upstream may have run it.
func endStatus(ran int, late bool, why reason) (int, reason) {
	switch {
	case ran == 0:
		return http.StatusServiceUnavailable, why
	case late:
		return http.StatusGatewayTimeout, reasonDeadline
	}
	return http.StatusBadGateway, why
}

// notRun reports whether a response guarantees that the request did not run: either another
// instance has the address, or the upstream set the header for that.
func (c *call) notRun(a *forward.UpstreamResponse) bool {
	return a.Status == http.StatusMisdirectedRequest || a.Header.Get(c.gateway.config.Headers.NotRun) != ""
}

// retryBudget returns this gateway's current retry budget of a service.
func (g *Gateway) retryBudget(id sandbarrow.ServiceID) *retry.Budget {
	return g.budgets.Budget(id, g.engines.gateways())
}
