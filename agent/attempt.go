package agent

import (
	"context"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/claim"
	"sandbarrow.example/sandbarrow/internal/boottime"
	"sandbarrow.example/sandbarrow/schedule"
	"sandbarrow.example/sandbarrow/wire"
)

const (
	// claimTimeout bounds a claim; after it the request is given up as not run.
	claimTimeout = 2 * time.Second
	// cancelGrace is how long an engine may still run what was cancelled.
	cancelGrace = 2 * time.Second
	// retryPause is what callers are told after a failure that may pass soon.
	retryPause = time.Second
	// tombLife is how long a revoked attempt is remembered; no message is on its way for that long.
	tombLife = 10 * time.Minute
	// attemptSeparator stands between request and attempt in an upstream's request id.
	attemptSeparator = "."
)

type attemptState int

const (
	attemptQueued attemptState = iota
	attemptStarting
	attemptStarted
	attemptEnded
)

type attemptKey struct {
	id      sandbarrow.RequestID
	attempt sandbarrow.Attempt
}

// attempt is one attempt of a request at this agent.
type attempt struct {
	cancel context.CancelFunc
	conn   *connection
	// counted says that its send was taken from the upstream's limit, sent that it came about.
	counted, sent bool
	ctx           context.Context
	done          chan struct{}
	reply         func(wire.AttemptResult)
	req           wire.AttemptRequest
	// startedAt is when its run began.
	startedAt time.Time
	state     attemptState
	ticket    *schedule.Ticket
	// withdrawn says that it must not start any more.
	withdrawn bool
}

func (at *attempt) key() attemptKey {
	return attemptKey{id: at.req.ID, attempt: at.req.Attempt}
}

// receive queues an attempt or refuses it at once.
func (a *Agent) receive(c *connection, req wire.AttemptRequest, reply func(wire.AttemptResult)) {
	now := boottime.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	at := &attempt{conn: c, done: make(chan struct{}), reply: reply, req: req}
	if err := a.admit(now, at); err != nil {
		a.metrics.attempts.WithLabelValues("refused").Inc()
		go reply(resultOf(err))
		return
	}
	at.ctx, at.cancel = context.WithTimeout(a.runCtx, wire.Duration(req.DeadlineMS))
	a.attempts[at.key()] = at
	a.byTicket[at.ticket] = at
	a.pump(now)
}

func (a *Agent) admit(now time.Time, at *attempt) error {
	key := at.key()
	_, revoked := a.tombs[key]
	_, known := a.attempts[key]
	switch {
	case at.req.Incarnation != a.incarnation:
		return sandbarrow.NotRun(sandbarrow.ReasonIncarnation, "the agent was replaced", 0)
	case revoked:
		return sandbarrow.NotRun(sandbarrow.ReasonRevoked, "this attempt was revoked", 0)
	case known:
		return sandbarrow.Unknown(sandbarrow.ReasonRevoked, "this attempt was sent twice", 0)
	case a.draining:
		return drainingRefusal()
	case a.unready:
		return sandbarrow.NotRun(sandbarrow.ReasonUpstream, "the upstream does not answer", retryPause)
	case at.req.DeadlineMS <= 0:
		return sandbarrow.NotRun(sandbarrow.ReasonDeadline, "the deadline has passed", 0)
	}
	admission := a.admissions.admit(now, false)
	if admission.refusal != nil {
		return admission.refusal
	}
	at.counted = admission.counted
	at.ticket = &schedule.Ticket{
		Arrived:     now,
		Deadline:    now.Add(wire.Duration(at.req.DeadlineMS)),
		Model:       at.req.Model,
		NoBatchWait: at.req.NoBatchWait,
		Priority:    at.req.Priority,
		Weights:     at.req.Weights,
	}
	err := a.scheduler.Submit(now, at.ticket)
	if err != nil && at.counted {
		a.admissions.unused()
	}
	return err
}

// endWaiting ends an attempt whose ticket has left the queue. The caller holds mu.
func (a *Agent) endWaiting(t *schedule.Ticket, refusal *sandbarrow.Refusal) {
	at := a.byTicket[t]
	if at == nil {
		return
	}
	a.end(at, resultOf(refusal))
}

// end forgets an attempt and replies. The caller holds mu.
func (a *Agent) end(at *attempt, result wire.AttemptResult) {
	if at.state == attemptEnded {
		return
	}
	at.state = attemptEnded
	if at.counted && !at.sent {
		a.admissions.unused()
	}
	at.cancel()
	delete(a.attempts, at.key())
	delete(a.byTicket, at.ticket)
	a.metrics.attempts.WithLabelValues(string(result.Outcome)).Inc()
	a.metrics.stalls.Observe(at.ticket.StallTime.Seconds())
	// A slow entry must not hold up the agent.
	go at.reply(result)
	close(at.done)
}

// revoke withdraws an attempt. A tombstone keeps a late copy from running.
func (a *Agent) revoke(ctx context.Context, key attemptKey) wire.RevokeReply {
	notRun := wire.RevokeReply{Outcome: sandbarrow.OutcomeNotRun}
	a.mu.Lock()
	at := a.attempts[key]
	if at == nil {
		// Messages of a connection keep their order, so that the attempt has
		// come and ended; only its result says whether it ran.
		a.tombs[key] = boottime.Now()
		a.mu.Unlock()
		return wire.RevokeReply{Outcome: sandbarrow.OutcomeUnknown}
	}
	at.withdrawn = true
	switch at.state {
	case attemptQueued:
		a.tombs[key] = boottime.Now()
		a.scheduler.Remove(at.ticket)
		a.end(at, resultOf(sandbarrow.NotRun(sandbarrow.ReasonRevoked, "revoked", 0)))
		a.mu.Unlock()
		return notRun
	case attemptStarting:
		a.tombs[key] = boottime.Now()
		a.mu.Unlock()
		select {
		case <-at.done: // the claim is released by then
		case <-ctx.Done():
		}
		return notRun
	}
	at.cancel()
	a.mu.Unlock()
	return wire.RevokeReply{Outcome: sandbarrow.OutcomeUnknown}
}

// run claims a once-only attempt, starts it and ends it.
func (a *Agent) run(at *attempt) {
	c, err := a.claim(at)
	if err == nil {
		err = a.startRun(at)
		if err != nil && c != nil {
			a.release(at, *c)
		}
	}
	if err != nil {
		a.finish(at, resultOf(err), false)
		return
	}
	sink := newFrameSink(at, c != nil)
	err = a.upstream.Run(at.ctx, a.job(at), sink)
	result := sink.result()
	if err != nil {
		result = a.failure(at, c, sink, err)
	}
	if c != nil {
		a.answers.put(at.req.OnceID, *c, sink.kept(result))
	}
	a.finish(at, result, err != nil)
}

func (a *Agent) job(at *attempt) sandbarrow.Job {
	r := &at.req
	return sandbarrow.Job{
		Body:        r.Body,
		ContentType: r.ContentType,
		ID:          sandbarrow.RequestID(string(r.ID) + attemptSeparator + itoa(r.Attempt)),
		Method:      r.Method,
		Model:       r.Model,
		Path:        r.Path,
		Priority:    r.Priority,
		Stream:      r.Stream,
	}
}

// claim takes the claim of a once-only attempt, as the last act before its start.
func (a *Agent) claim(at *attempt) (*sandbarrow.Claim, error) {
	if at.req.OnceID == "" {
		return nil, nil
	}
	c := sandbarrow.Claim{
		Attempt: at.req.Attempt,
		Body:    at.req.Digest(),
		Box:     a.settings.Box.ID,
		Token:   uuid.NewString(),
	}
	ctx, cancel := context.WithTimeout(at.ctx, claimTimeout)
	defer cancel()
	err := a.claimer.Start(ctx, at.req.OnceID, c)
	if err != nil {
		return nil, err
	}
	return &c, nil
}

// startRun marks the attempt as started unless it was withdrawn meanwhile.
func (a *Agent) startRun(at *attempt) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if at.withdrawn || at.ctx.Err() != nil {
		return sandbarrow.NotRun(sandbarrow.ReasonRevoked, "withdrawn before its start", 0)
	}
	now := boottime.Now()
	// The upstream may have announced something while it waited.
	admission := a.admissions.admit(now, at.counted)
	if admission.refusal != nil {
		return admission.refusal
	}
	at.counted = admission.counted
	at.state, at.startedAt, at.sent = attemptStarted, now, true
	if at.req.OnceID != "" {
		a.answers.begin(at.req.OnceID)
	}
	return nil
}

// release gives up a claim whose attempt did not run.
func (a *Agent) release(at *attempt, c sandbarrow.Claim) {
	ctx, cancel := context.WithTimeout(a.runCtx, claimTimeout)
	defer cancel()
	if err := a.claimer.Release(ctx, at.req.OnceID, c); err != nil {
		a.logger.Warn("claim not released", "request", string(at.req.ID), "error", err.Error())
	}
}

// failure turns an upstream's error into a result.
func (a *Agent) failure(at *attempt, c *sandbarrow.Claim, sink *frameSink, err error) wire.AttemptResult {
	refused := errors.Is(err, sandbarrow.ErrUpstreamRefused) || errors.Is(err, sandbarrow.ErrUpstreamNotLoaded)
	if refused && c != nil {
		a.release(at, *c)
	}
	if !refused {
		a.noteBroken(a.runCtx, at)
	}
	if errors.Is(err, sandbarrow.ErrUpstreamNotLoaded) {
		a.refreshState(a.runCtx)
		a.forget(at.req.Model)
	}
	a.logger.Warn("run failed", "request", string(at.req.ID), "attempt", uint32(at.req.Attempt), "adapter", at.req.Model.String(), "error", err.Error())
	var result wire.AttemptResult
	switch {
	case refused:
		result = resultOf(sandbarrow.NotRun(sandbarrow.ReasonUpstream, "the upstream refused", retryPause))
	case at.ctx.Err() != nil:
		result = resultOf(sandbarrow.Unknown(sandbarrow.ReasonDeadline, "given up while it ran", 0))
	case errors.Is(err, sandbarrow.ErrUpstreamBroken):
		result = resultOf(sandbarrow.Unknown(sandbarrow.ReasonResponseBroken, "the upstream's answer was broken", retryPause))
	default:
		result = resultOf(sandbarrow.Unknown(sandbarrow.ReasonUpstream, "the upstream failed", retryPause))
	}
	result.Frames = sink.frames
	return result
}

// finish ends an attempt that held a running place. After a failure the
// engine may still be running it for a moment.
func (a *Agent) finish(at *attempt, result wire.AttemptResult, failed bool) {
	now := boottime.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.scheduler.Finish(now, at.ticket)
	if failed {
		a.scheduler.Protect(at.req.Model, now.Add(cancelGrace))
	}
	a.end(at, result)
	a.pump(now)
}

// forgetTombs drops old tombstones. The caller holds mu.
func (a *Agent) forgetTombs(now time.Time) {
	for key, at := range a.tombs {
		if now.Sub(at) > tombLife {
			delete(a.tombs, key)
		}
	}
}

// resultOf turns an error of this layer or of the claims into a result.
func resultOf(err error) wire.AttemptResult {
	if record, ok := claim.RecordOf(err); ok {
		result := resultOf(sandbarrow.NotRun(sandbarrow.ReasonClaimed, "another attempt has a claim", 0))
		result.Claim = &record
		return result
	}
	var r *sandbarrow.Refusal
	if !errors.As(err, &r) {
		r = sandbarrow.NotRun(sandbarrow.ReasonStore, "the claim could not be taken", retryPause)
	}
	return wire.AttemptResult{
		Detail:       r.Detail,
		Outcome:      r.Outcome,
		Reason:       r.Reason,
		RetryAfterMS: wire.Millis(r.RetryAfter),
	}
}
