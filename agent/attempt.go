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
	// claimTimeout bounds a claim. When it expires, the request is abandoned as not run.
	claimTimeout = 2 * time.Second
	// cancelGrace is how long an engine may still run a canceled request.
	cancelGrace = 2 * time.Second
	// defaultRetryAfter is the retry delay reported to callers after a failure that may be brief.
	defaultRetryAfter = time.Second
	// tombstoneTTL is how long a revoked attempt is remembered. No message is in transit for that long.
	tombstoneTTL = 10 * time.Minute
	// attemptSeparator separates the request ID from the attempt number in the upstream's request ID.
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
	// counted is set when the send was counted against the upstream's limit, sent when it was made.
	counted, sent bool
	ctx           context.Context
	done          chan struct{}
	reply         func(wire.AttemptResult)
	req           wire.AttemptRequest
	// startedAt is when the upstream began to run the attempt.
	startedAt time.Time
	state     attemptState
	ticket    *schedule.Ticket
	// revoked is set when the attempt must not start any more.
	revoked bool
}

func (at *attempt) key() attemptKey {
	return attemptKey{id: at.req.ID, attempt: at.req.Attempt}
}

// receive queues an attempt or refuses it immediately.
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
	a.advance(now)
}

func (a *Agent) admit(now time.Time, at *attempt) error {
	key := at.key()
	_, revoked := a.tombstones[key]
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
		return sandbarrow.NotRun(sandbarrow.ReasonUpstream, "the upstream does not answer", defaultRetryAfter)
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
		a.admissions.refundSend()
	}
	return err
}

// endWaiting ends an attempt whose ticket was removed from the queue. The caller holds mu.
func (a *Agent) endWaiting(t *schedule.Ticket, refusal *sandbarrow.Refusal) {
	at := a.byTicket[t]
	if at == nil {
		return
	}
	a.endAttempt(at, resultOf(refusal))
}

// endAttempt removes an attempt and replies to its entry. The caller holds mu.
func (a *Agent) endAttempt(at *attempt, result wire.AttemptResult) {
	if at.state == attemptEnded {
		return
	}
	at.state = attemptEnded
	if at.counted && !at.sent {
		a.admissions.refundSend()
	}
	at.cancel()
	delete(a.attempts, at.key())
	delete(a.byTicket, at.ticket)
	a.metrics.attempts.WithLabelValues(string(result.Outcome)).Inc()
	a.metrics.stalls.Observe(at.ticket.StallTime.Seconds())
	// A slow entry must not block the agent.
	go at.reply(result)
	close(at.done)
}

// revoke cancels an attempt. A tombstone prevents a delayed copy from running.
func (a *Agent) revoke(ctx context.Context, key attemptKey) wire.RevokeReply {
	notRun := wire.RevokeReply{Outcome: sandbarrow.OutcomeNotRun}
	a.mu.Lock()
	at := a.attempts[key]
	if at == nil {
		// Messages on a connection arrive in order, so the attempt has already
		// arrived and ended. Only its result shows whether it ran.
		a.tombstones[key] = boottime.Now()
		a.mu.Unlock()
		return wire.RevokeReply{Outcome: sandbarrow.OutcomeUnknown}
	}
	at.revoked = true
	switch at.state {
	case attemptQueued:
		a.tombstones[key] = boottime.Now()
		a.scheduler.Remove(at.ticket)
		a.endAttempt(at, resultOf(sandbarrow.NotRun(sandbarrow.ReasonRevoked, "revoked", 0)))
		a.mu.Unlock()
		return notRun
	case attemptStarting:
		a.tombstones[key] = boottime.Now()
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

// run executes an attempt. It first obtains a claim if the request is at-most-once.
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
		a.responses.put(at.req.AtMostOnceID, *c, sink.cached(result))
	}
	a.finish(at, result, err != nil)
}

func (a *Agent) job(at *attempt) sandbarrow.Job {
	r := &at.req
	return sandbarrow.Job{
		Body:        r.Body,
		ContentType: r.ContentType,
		ID:          sandbarrow.RequestID(string(r.ID) + attemptSeparator + formatAttempt(r.Attempt)),
		Method:      r.Method,
		Model:       r.Model,
		Path:        r.Path,
		Priority:    r.Priority,
		Stream:      r.Stream,
	}
}

// claim obtains the claim of an at-most-once attempt. It is the last step before the attempt starts.
func (a *Agent) claim(at *attempt) (*sandbarrow.Claim, error) {
	if at.req.AtMostOnceID == "" {
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
	err := a.claimer.Start(ctx, at.req.AtMostOnceID, c)
	if err != nil {
		return nil, err
	}
	return &c, nil
}

// startRun marks the attempt as started unless it was revoked in the meantime.
func (a *Agent) startRun(at *attempt) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if at.revoked || at.ctx.Err() != nil {
		return sandbarrow.NotRun(sandbarrow.ReasonRevoked, "withdrawn before its start", 0)
	}
	now := boottime.Now()
	// The upstream may have sent a notice while the attempt waited.
	admission := a.admissions.admit(now, at.counted)
	if admission.refusal != nil {
		return admission.refusal
	}
	at.counted = admission.counted
	at.state, at.startedAt, at.sent = attemptStarted, now, true
	if at.req.AtMostOnceID != "" {
		a.responses.begin(at.req.AtMostOnceID)
	}
	return nil
}

// release releases a claim whose attempt did not run.
func (a *Agent) release(at *attempt, c sandbarrow.Claim) {
	ctx, cancel := context.WithTimeout(a.runCtx, claimTimeout)
	defer cancel()
	if err := a.claimer.Release(ctx, at.req.AtMostOnceID, c); err != nil {
		a.logger.Warn("claim not released", "request", string(at.req.ID), "error", err.Error())
	}
}

// failure converts an upstream's error to a result.
func (a *Agent) failure(at *attempt, c *sandbarrow.Claim, sink *frameSink, err error) wire.AttemptResult {
	refused := errors.Is(err, sandbarrow.ErrUpstreamRefused) || errors.Is(err, sandbarrow.ErrUpstreamNotLoaded)
	if refused && c != nil {
		a.release(at, *c)
	}
	if !refused {
		a.recordFailedRun(a.runCtx, at)
	}
	if errors.Is(err, sandbarrow.ErrUpstreamNotLoaded) {
		a.refreshState(a.runCtx)
		a.forgetAdapter(at.req.Model)
	}
	a.logger.Warn("run failed", "request", string(at.req.ID), "attempt", uint32(at.req.Attempt), "adapter", at.req.Model.String(), "error", err.Error())
	var result wire.AttemptResult
	switch {
	case refused:
		result = resultOf(sandbarrow.NotRun(sandbarrow.ReasonUpstream, "the upstream refused", defaultRetryAfter))
	case at.ctx.Err() != nil:
		result = resultOf(sandbarrow.Unknown(sandbarrow.ReasonDeadline, "given up while it ran", 0))
	case errors.Is(err, sandbarrow.ErrUpstreamBroken):
		result = resultOf(sandbarrow.Unknown(sandbarrow.ReasonResponseBroken, "the upstream's answer was broken", defaultRetryAfter))
	default:
		result = resultOf(sandbarrow.Unknown(sandbarrow.ReasonUpstream, "the upstream failed", defaultRetryAfter))
	}
	result.Frames = sink.frames
	return result
}

// finish ends an attempt that was counted as running. After a failure, the engine
// may still run the request for a moment, so its adapter stays protected.
func (a *Agent) finish(at *attempt, result wire.AttemptResult, failed bool) {
	now := boottime.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.scheduler.Finish(now, at.ticket)
	if failed {
		a.scheduler.Protect(at.req.Model, now.Add(cancelGrace))
	}
	a.endAttempt(at, result)
	a.advance(now)
}

// dropExpiredTombstones removes old tombstones. The caller holds mu.
func (a *Agent) dropExpiredTombstones(now time.Time) {
	for key, at := range a.tombstones {
		if now.Sub(at) > tombstoneTTL {
			delete(a.tombstones, key)
		}
	}
}

// resultOf converts an error of the agent or of the claim store to a result.
func resultOf(err error) wire.AttemptResult {
	if record, ok := claim.RecordOf(err); ok {
		result := resultOf(sandbarrow.NotRun(sandbarrow.ReasonClaimed, "another attempt has a claim", 0))
		result.Claim = &record
		return result
	}
	var r *sandbarrow.Refusal
	if !errors.As(err, &r) {
		r = sandbarrow.NotRun(sandbarrow.ReasonStore, "the claim could not be taken", defaultRetryAfter)
	}
	return wire.AttemptResult{
		Detail:       r.Detail,
		Outcome:      r.Outcome,
		Reason:       r.Reason,
		RetryAfterMS: wire.Millis(r.RetryAfter),
	}
}
