package entry

import (
	"context"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/crash"
	"sandbarrow.example/sandbarrow/internal/boottime"
	"sandbarrow.example/sandbarrow/wire"
)

const (
	// maxAttempts bounds the attempts of one request.
	maxAttempts = 5
	// noUpstreamRetryAfter is the Retry-After for callers when no upstream is available.
	noUpstreamRetryAfter = 2 * time.Second
	// resolveTimeout bounds the time to find out whether a lost at-most-once attempt has run.
	resolveTimeout = 2 * time.Second
)

// job is one request of a caller while the entry processes it.
type job struct {
	attempt wire.AttemptRequest
	// caller is the caller that sent the request.
	caller   sandbarrow.CallerID
	deadline time.Time
	route    sandbarrow.RouteRequest
	stream   *responseStream
}

// decision is the consequence of one finished attempt for its request: either a result, or a
// refusal and whether the request may be retried.
type decision struct {
	// allowTried lets the next attempt use upstreams that have been tried already.
	allowTried bool
	// freeRetry exempts the retry from the retry budget: it was clear at once that nothing had run.
	freeRetry bool
	refusal   *sandbarrow.Refusal
	result    wire.AttemptResult
	retry     bool
}

// timeLeft returns the time until the deadline.
func (j *job) timeLeft() time.Duration {
	return boottime.Until(j.deadline)
}

// setFingerprint sets the fingerprint of the request's content and caller. Retries of the same
// request have the same fingerprint at every entry.
func (j *job) setFingerprint() {
	r := &j.attempt
	fingerprint := crash.NewFingerprint([]byte(r.Method), []byte(r.Path), r.Body, []byte(r.Model.Adapter), []byte(j.caller))
	r.Fingerprint = &fingerprint
}

// dispatch makes attempts until one succeeds or the request can't be retried. It gives up when
// no upstream is eligible, the decision on the last attempt permits no retry, the deadline has
// passed, a part of the response has been received, or the retry budget is used up. Free
// retries don't use the budget. maxAttempts bounds the attempts in any case.
func (e *Entry) dispatch(ctx context.Context, j *job) (wire.AttemptResult, *sandbarrow.Refusal) {
	ctx, cancel := context.WithTimeout(ctx, j.timeLeft())
	defer cancel()
	e.budget.Request()
	j.route.Exclude = &sandbarrow.IndexSet{}
	j.setFingerprint()
	refusal := sandbarrow.NotRun(sandbarrow.ReasonNoUpstream, "no upstream can take the request now", noUpstreamRetryAfter)
	j.attempt.Attempt = 1
	for range maxAttempts {
		if isStopped(ctx) {
			return wire.AttemptResult{}, combineRefusals(refusal, notRunByStop())
		}
		if d := e.crashes.Decide(*j.attempt.Fingerprint, e.Connected()); d.Refused {
			return wire.AttemptResult{}, combineRefusals(refusal, sandbarrow.NotRun(sandbarrow.ReasonCrashesUpstreams, "upstreams have ended under this request", d.ExpiresIn))
		}
		index, ok := e.chooser.Choose(time.Now(), &j.route)
		if !ok {
			return wire.AttemptResult{}, refusal
		}
		j.route.Exclude.Add(index)
		d := e.tryUpstream(ctx, j, index)
		if d.refusal == nil {
			e.crashes.Clear(*j.attempt.Fingerprint)
			return d.result, nil
		}
		refusal = combineRefusals(refusal, d.refusal)
		if !d.retry || ctx.Err() != nil || j.stream.any() {
			return wire.AttemptResult{}, refusal
		}
		if !d.freeRetry && !e.budget.AllowRetry() {
			return wire.AttemptResult{}, refusal
		}
		if d.allowTried {
			j.route.Exclude = &sandbarrow.IndexSet{}
		}
		e.metrics.retries.Inc()
		j.attempt.Attempt++
	}
	return wire.AttemptResult{}, refusal
}

// combineRefusals returns the refusal to report for two attempts of a request. Once an attempt
// may have run, the outcome stays unknown, whatever a later attempt reports. If both upstreams
// named a time when they accept requests again, the earlier one is reported.
func combineRefusals(before, now *sandbarrow.Refusal) *sandbarrow.Refusal {
	if before.Outcome == sandbarrow.OutcomeUnknown && now.Outcome == sandbarrow.OutcomeNotRun {
		return before
	}
	if acceptsLater(before) && acceptsLater(now) && before.RetryAfter < now.RetryAfter {
		return before
	}
	return now
}

// acceptsLater reports whether a refusal names the time when its upstream accepts requests again.
func acceptsLater(r *sandbarrow.Refusal) bool {
	return r.Reason == sandbarrow.ReasonUpstreamBackoff || r.Reason == sandbarrow.ReasonUpstreamLimit
}

// tryUpstream makes one attempt at an upstream.
func (e *Entry) tryUpstream(ctx context.Context, j *job, index int) decision {
	notSent := decision{freeRetry: true, retry: true, refusal: sandbarrow.NotRun(sandbarrow.ReasonNoUpstream, "the agent has just left", noUpstreamRetryAfter)}
	p := e.peerAt(index)
	if p == nil {
		return notSent
	}
	e.fleet.Begin(index)
	defer e.fleet.End(index)
	j.attempt.DeadlineMS = wire.Millis(j.timeLeft())
	result, err := p.attempt(ctx, j.attempt, j.stream)
	switch {
	case errors.Is(err, errNotSent):
		return notSent
	case errors.Is(err, errRevoked) && isStopped(ctx):
		return decision{refusal: notRunByStop()}
	case errors.Is(err, errRevoked):
		return decision{refusal: sandbarrow.NotRun(sandbarrow.ReasonDeadline, "the deadline passed before the request ran", noUpstreamRetryAfter)}
	case err != nil && j.attempt.AtMostOnceID != "":
		return e.resolveLostAttempt(ctx, j)
	case err != nil && isStopped(ctx):
		return decision{refusal: sandbarrow.Unknown(sandbarrow.ReasonDeadline, "the entry stopped while an agent had the request", noUpstreamRetryAfter)}
	case err != nil:
		return decision{retry: true, refusal: sandbarrow.Unknown(sandbarrow.ReasonUpstream, "the agent was lost while it had the request", noUpstreamRetryAfter)}
	case result.Outcome == sandbarrow.OutcomeComplete:
		return decision{result: result}
	case result.Claim != nil:
		return e.resolveClaim(ctx, j, *result.Claim)
	}
	return decideRefusal(j, result)
}

// notRunByStop is the refusal of a request that a planned stop has ended before it ran.
func notRunByStop() *sandbarrow.Refusal {
	return sandbarrow.NotRun(sandbarrow.ReasonDraining, "the entry stopped before the request ran", noUpstreamRetryAfter)
}

// decideRefusal decides whether a request that an agent refused is retried.
//
// Inputs: the refusal's reason and outcome, and whether the request is at-most-once. If the
// agent is draining or was replaced, or its upstream accepts no requests now, the request is
// retried at another upstream without using the retry budget. After a missed deadline or
// without a response from the store it is not retried, because another agent would fail in
// the same way. In all other cases a request is retried if it did not run or may run twice.
func decideRefusal(j *job, result wire.AttemptResult) decision {
	refusal := &sandbarrow.Refusal{
		Detail:     result.Detail,
		Outcome:    result.Outcome,
		Reason:     result.Reason,
		RetryAfter: wire.Duration(result.RetryAfterMS),
	}
	d := decision{refusal: refusal}
	switch refusal.Reason {
	case sandbarrow.ReasonDraining, sandbarrow.ReasonIncarnation, sandbarrow.ReasonUpstreamBackoff, sandbarrow.ReasonUpstreamLimit:
		d.freeRetry, d.retry = true, true
	case sandbarrow.ReasonDeadline, sandbarrow.ReasonStore:
		// Another agent would query the same store.
		d.retry = false
	default:
		d.retry = refusal.Outcome == sandbarrow.OutcomeNotRun || j.attempt.AtMostOnceID == ""
	}
	return d
}

// resolveLostAttempt finds out whether an at-most-once attempt has run after the connection to
// its agent was lost. If it has not started, its claim is voided and it never runs.
func (e *Entry) resolveLostAttempt(ctx context.Context, j *job) decision {
	voidCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), e.lookupTime(resolveTimeout))
	defer cancel()
	c := sandbarrow.Claim{
		Attempt: j.attempt.Attempt,
		Body:    j.attempt.Digest(),
		Box:     e.settings.Box.ID,
		Token:   uuid.NewString(),
	}
	current, err := e.claimer.Void(voidCtx, j.attempt.AtMostOnceID, c)
	if err != nil {
		return decision{refusal: sandbarrow.Unknown(sandbarrow.ReasonUpstream, "the agent was lost and the store does not tell whether the request ran", noUpstreamRetryAfter)}
	}
	if current.State == sandbarrow.ClaimVoided {
		j.attempt.Attempt = max(j.attempt.Attempt, current.Attempt)
		return decision{freeRetry: true, retry: true, refusal: sandbarrow.NotRun(sandbarrow.ReasonNoUpstream, "the agent was lost before it started the request", noUpstreamRetryAfter)}
	}
	return e.resolveClaim(ctx, j, current)
}

// resolveClaim handles a claim record that forbids the attempt. If the claim was voided, the
// request is retried with a higher attempt number. If it was started, the response is fetched
// from its agent, which may have stored it.
func (e *Entry) resolveClaim(ctx context.Context, j *job, c sandbarrow.Claim) decision {
	if c.State == sandbarrow.ClaimVoided {
		j.attempt.Attempt = max(j.attempt.Attempt, c.Attempt)
		return decision{allowTried: true, freeRetry: true, retry: true, refusal: sandbarrow.NotRun(sandbarrow.ReasonClaimed, "an earlier attempt was voided", noUpstreamRetryAfter)}
	}
	unknown := decision{refusal: sandbarrow.Unknown(sandbarrow.ReasonClaimed, "the request has started before; its answer can't be had", 0)}
	for range int(resolveTimeout / redialDelay) {
		if p := e.peer(c.Box); p != nil {
			return e.fetchStoredResponse(ctx, j, p, c, unknown)
		}
		pause(ctx, redialDelay)
	}
	return unknown
}

func (e *Entry) fetchStoredResponse(ctx context.Context, j *job, p *peer, c sandbarrow.Claim, unknown decision) decision {
	result, err := p.storedResponse(ctx, wire.CachedResponseRequest{Body: j.attempt.Digest(), Claim: c.Token, ID: j.attempt.AtMostOnceID})
	switch {
	case err != nil || j.stream.any():
		return unknown
	case result.Outcome == sandbarrow.OutcomeComplete:
		if result.Origin == nil {
			result.Origin = &wire.Origin{} // unknown; this request's model and revision may differ from it
		}
		return decision{result: result}
	}
	d := decideRefusal(j, result)
	d.retry = false
	return d
}
