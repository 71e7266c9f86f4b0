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
	// noUpstreamPause is when callers may come back when no upstream is there.
	noUpstreamPause = 2 * time.Second
	// settleTimeout bounds how long a lost once-only attempt is settled.
	settleTimeout = 2 * time.Second
)

// job is one request of a caller on its way through the entry.
type job struct {
	attempt wire.AttemptRequest
	// caller is who asks.
	caller   sandbarrow.CallerID
	deadline time.Time
	route    sandbarrow.RouteRequest
	stream   *answerStream
}

// verdict says what the end of one attempt means for its request: a result, or
// a refusal and whether another attempt may be made.
type verdict struct {
	// anywhere lets the next attempt go to upstreams that were tried.
	anywhere bool
	// free says that a retry costs nothing: nothing ran, as was known at once.
	free    bool
	refusal *sandbarrow.Refusal
	result  wire.AttemptResult
	retry   bool
}

// left is how long it is until the deadline.
func (j *job) left() time.Duration {
	return boottime.Until(j.deadline)
}

// identify gives the request the fingerprint of what it asks for, and for whom: its repeats
// have the same, at whatever entry.
func (j *job) identify() {
	r := &j.attempt
	fingerprint := crash.NewFingerprint([]byte(r.Method), []byte(r.Path), r.Body, []byte(r.Model.Adapter), []byte(j.caller))
	r.Fingerprint = &fingerprint
}

// dispatch makes attempts until one is final, and decides when a request is given up:
// when no upstream suits, its verdict permits no retry, its deadline is over, the
// caller has a part of the answer, or the retry budget is spent (but for retries that
// cost nothing, since nothing ran). maxAttempts bounds them in any case.
func (e *Entry) dispatch(ctx context.Context, j *job) (wire.AttemptResult, *sandbarrow.Refusal) {
	ctx, cancel := context.WithTimeout(ctx, j.left())
	defer cancel()
	e.budget.Request()
	j.route.Exclude = &sandbarrow.IndexSet{}
	j.identify()
	refusal := sandbarrow.NotRun(sandbarrow.ReasonNoUpstream, "no upstream can take the request now", noUpstreamPause)
	j.attempt.Attempt = 1
	for range maxAttempts {
		if v := e.crashes.Decide(*j.attempt.Fingerprint, e.Connected()); v.Refused {
			return wire.AttemptResult{}, worse(refusal, sandbarrow.NotRun(sandbarrow.ReasonCrashesUpstreams, "upstreams have ended under this request", v.ExpiresIn))
		}
		index, ok := e.chooser.Choose(time.Now(), &j.route)
		if !ok {
			return wire.AttemptResult{}, refusal
		}
		j.route.Exclude.Add(index)
		v := e.try(ctx, j, index)
		if v.refusal == nil {
			e.crashes.Clear(*j.attempt.Fingerprint)
			return v.result, nil
		}
		refusal = worse(refusal, v.refusal)
		if !v.retry || ctx.Err() != nil || j.stream.any() {
			return wire.AttemptResult{}, refusal
		}
		if !v.free && !e.budget.AllowRetry() {
			return wire.AttemptResult{}, refusal
		}
		if v.anywhere {
			j.route.Exclude = &sandbarrow.IndexSet{}
		}
		e.metrics.retries.Inc()
		j.attempt.Attempt++
	}
	return wire.AttemptResult{}, refusal
}

// worse keeps the refusal that promises less: once an attempt may have run, no
// later attempt makes the request not run. Of upstreams that take no more now, the one that
// takes a request first says when to come back.
func worse(before, now *sandbarrow.Refusal) *sandbarrow.Refusal {
	if before.Outcome == sandbarrow.OutcomeUnknown && now.Outcome == sandbarrow.OutcomeNotRun {
		return before
	}
	if acceptsLater(before) && acceptsLater(now) && before.RetryAfter < now.RetryAfter {
		return before
	}
	return now
}

// acceptsLater reports whether a refusal says when its upstream accepts a request.
func acceptsLater(r *sandbarrow.Refusal) bool {
	return r.Reason == sandbarrow.ReasonUpstreamBackoff || r.Reason == sandbarrow.ReasonUpstreamLimit
}

// try makes one attempt at an upstream.
func (e *Entry) try(ctx context.Context, j *job, index int) verdict {
	hasLeft := verdict{free: true, retry: true, refusal: sandbarrow.NotRun(sandbarrow.ReasonNoUpstream, "the agent has just left", noUpstreamPause)}
	p := e.peerAt(index)
	if p == nil {
		return hasLeft
	}
	e.fleet.Begin(index)
	defer e.fleet.End(index)
	j.attempt.DeadlineMS = wire.Millis(j.left())
	result, err := p.attempt(ctx, j.attempt, j.stream)
	switch {
	case errors.Is(err, errNotSent):
		return hasLeft
	case errors.Is(err, errRevoked):
		return verdict{refusal: sandbarrow.NotRun(sandbarrow.ReasonDeadline, "the deadline passed before the request ran", noUpstreamPause)}
	case err != nil && j.attempt.OnceID != "":
		return e.settleOnce(ctx, j)
	case err != nil:
		return verdict{retry: true, refusal: sandbarrow.Unknown(sandbarrow.ReasonUpstream, "the agent was lost while it had the request", noUpstreamPause)}
	case result.Outcome == sandbarrow.OutcomeComplete:
		return verdict{result: result}
	case result.Claim != nil:
		return e.settleClaimed(ctx, j, *result.Claim)
	}
	return judge(j, result)
}

// judge decides what an agent's refusal means for the request.
//
// Inputs: the refusal's reason and outcome, and whether the request is once-only. A
// draining or replaced agent, or one whose upstream takes no more, costs nothing and is retried
// elsewhere; a deadline or a
// store that does not answer is the same elsewhere. Otherwise a request is retried
// when it did not run, or may run twice.
func judge(j *job, result wire.AttemptResult) verdict {
	refusal := &sandbarrow.Refusal{
		Detail:     result.Detail,
		Outcome:    result.Outcome,
		Reason:     result.Reason,
		RetryAfter: wire.Duration(result.RetryAfterMS),
	}
	v := verdict{refusal: refusal}
	switch refusal.Reason {
	case sandbarrow.ReasonDraining, sandbarrow.ReasonIncarnation, sandbarrow.ReasonUpstreamBackoff, sandbarrow.ReasonUpstreamLimit:
		v.free, v.retry = true, true
	case sandbarrow.ReasonDeadline, sandbarrow.ReasonStore:
		// Another agent asks the same store.
		v.retry = false
	default:
		v.retry = refusal.Outcome == sandbarrow.OutcomeNotRun || j.attempt.OnceID == ""
	}
	return v
}

// settleOnce finds out what became of a once-only attempt whose agent was
// lost. If it has not started, its claim is voided: then it never runs.
func (e *Entry) settleOnce(ctx context.Context, j *job) verdict {
	voidCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout)
	defer cancel()
	c := sandbarrow.Claim{
		Attempt: j.attempt.Attempt,
		Body:    j.attempt.Digest(),
		Box:     e.settings.Box.ID,
		Token:   uuid.NewString(),
	}
	stands, err := e.claimer.Void(voidCtx, j.attempt.OnceID, c)
	if err != nil {
		return verdict{refusal: sandbarrow.Unknown(sandbarrow.ReasonUpstream, "the agent was lost and the store does not tell whether the request ran", noUpstreamPause)}
	}
	if stands.State == sandbarrow.ClaimVoided {
		j.attempt.Attempt = max(j.attempt.Attempt, stands.Attempt)
		return verdict{free: true, retry: true, refusal: sandbarrow.NotRun(sandbarrow.ReasonNoUpstream, "the agent was lost before it started the request", noUpstreamPause)}
	}
	return e.settleClaimed(ctx, j, stands)
}

// settleClaimed handles a record that forbids the attempt: a voided one asks
// for a later attempt, a started one for the answer that its agent may hold.
func (e *Entry) settleClaimed(ctx context.Context, j *job, c sandbarrow.Claim) verdict {
	if c.State == sandbarrow.ClaimVoided {
		j.attempt.Attempt = max(j.attempt.Attempt, c.Attempt)
		return verdict{anywhere: true, free: true, retry: true, refusal: sandbarrow.NotRun(sandbarrow.ReasonClaimed, "an earlier attempt was voided", noUpstreamPause)}
	}
	unknown := verdict{refusal: sandbarrow.Unknown(sandbarrow.ReasonClaimed, "the request has started before; its answer can't be had", 0)}
	for range int(settleTimeout / redialPause) {
		if p := e.peer(c.Box); p != nil {
			return e.fetchAnswer(ctx, j, p, c, unknown)
		}
		pause(ctx, redialPause)
	}
	return unknown
}

func (e *Entry) fetchAnswer(ctx context.Context, j *job, p *peer, c sandbarrow.Claim, unknown verdict) verdict {
	result, err := p.answer(ctx, wire.AnswerRequest{Body: j.attempt.Digest(), Claim: c.Token, ID: j.attempt.OnceID})
	switch {
	case err != nil || j.stream.any():
		return unknown
	case result.Outcome == sandbarrow.OutcomeComplete:
		if result.Origin == nil {
			result.Origin = &wire.Origin{} // not told: this request's own would be a guess
		}
		return verdict{result: result}
	}
	v := judge(j, result)
	v.retry = false
	return v
}
