package gateway

import (
	"net/http"
	"time"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/forward"
	"sandbarrow.example/sandbarrow/retry"
	"sandbarrow.example/sandbarrow/route"
)

// This file answers when a request may be sent again, what the end of an attempt
// means for its call, and with which status a call is given up. The rules are pure
// functions; package retry has the budgets that bound retries.

// leastSend is the least time before a call's end in which a request is still sent: less would not
// suffice for an answer.
const leastSend = 20 * time.Millisecond

// permission says whether a request may be sent to an upstream.
type permission int

// The permissions.
const (
	// sendFree is a first attempt, which costs nothing.
	sendFree permission = iota
	// sendBudgeted is a retry, which must be taken from the retry budget.
	sendBudgeted
	// sendNever is a request that must not be sent any more.
	sendNever
)

// permissionToSend decides whether a request may be sent to one more upstream.
//
// Inputs: the upstreams that got it and those that may have run it, and the
// route's kind and number of attempts. A request that may have run goes on only
// where its route says that running it twice does no harm, and to no more upstreams
// than the route allows. One that only was refused as not run may go to one
// upstream more than that. Neither is free: what was sent once loads the fleet.
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

// maySend reports whether the request may be sent to one more upstream, and takes
// a retry from the budget.
func (c *call) maySend() bool {
	switch permissionToSend(&c.attempts, c.route) {
	case sendFree:
		return true
	case sendNever:
		return false
	}
	return c.gateway.retryBudget(c.service.ID).AllowRetry()
}

// verdict says how an attempt at an engine ended.
type verdict int

// The verdicts of an attempt.
const (
	// verdictAnswered means that the caller has its final answer.
	verdictAnswered verdict = iota
	// verdictBroken means that the request may have run.
	verdictBroken
	// verdictFailed means that the engine answered with a failure, which is kept.
	verdictFailed
	// verdictNotRun means that the request did not run.
	verdictNotRun
	// verdictNotSent means that no byte left.
	verdictNotSent
)

// String returns the verdict's name in logs.
func (v verdict) String() string {
	return [...]string{"answered", "broken", "failed", "not-run", "not-sent"}[v]
}

// step is what a call does after an attempt at an engine.
type step int

// The steps.
const (
	// stepAgain looks for another engine; permissionToSend has the last word.
	stepAgain step = iota
	// stepDone leaves the call: the caller has its answer.
	stepDone
	// stepAbort breaks off the answer that the caller has a part of.
	stepAbort
	// stepPassFailure gives the engine's own failure to the caller.
	stepPassFailure
)

// afterAttempt decides what follows an attempt at an engine.
//
// Inputs: how it ended, whether the caller has a part of the answer, whether the
// route may run twice. mayHaveRun says that the attempt counts as one that may have
// run; why is the reason of the call's end where no other engine answers.
func afterAttempt(v verdict, committed, repeatable bool) (next step, mayHaveRun bool, why reason) {
	switch v {
	case verdictAnswered:
		return stepDone, false, ""
	case verdictNotRun:
		return stepAgain, false, reasonRefused
	case verdictNotSent:
		return stepAgain, false, reasonNoUpstream
	case verdictFailed:
		if !repeatable {
			return stepPassFailure, true, reasonBroken
		}
	case verdictBroken:
		if committed && !repeatable {
			return stepAbort, true, reasonBroken
		}
	}
	return stepAgain, true, reasonBroken
}

// endStatus decides the status of a call that is given up: 503 promises that the
// request did not run, so it is said only where no upstream may have run it.
func endStatus(ran int, late bool, why reason) (int, reason) {
	switch {
	case ran == 0:
		return http.StatusServiceUnavailable, why
	case late:
		return http.StatusGatewayTimeout, reasonDeadline
	}
	return http.StatusBadGateway, why
}

// notRun reports whether an answer promises that the request did not run: another
// instance has the address, or the upstream says so.
func (c *call) notRun(a *forward.Answer) bool {
	return a.Status == http.StatusMisdirectedRequest || a.Header.Get(c.gateway.config.Headers.NotRun) != ""
}

// retryBudget is the budget of a service at this gateway now.
func (g *Gateway) retryBudget(id sandbarrow.ServiceID) *retry.Budget {
	return g.budgets.Budget(id, g.engines.gateways())
}
