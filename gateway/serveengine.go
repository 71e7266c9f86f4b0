package gateway

import (
	"context"
	"time"

	"github.com/juju/errors"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/enginelink"
	"sandbarrow.example/sandbarrow/forward"
	"sandbarrow.example/sandbarrow/internal/boottime"
	"sandbarrow.example/sandbarrow/internal/pause"
)

const (
	// maxEnginesWait bounds the wait for any engine to appear, as after a complete power loss.
	maxEnginesWait = 1200 * time.Millisecond
	// pollInterval is the time between two checks of a condition that a call waits for. It is
	// short compared to maxEnginesWait and viewWait.
	pollInterval = 40 * time.Millisecond
	// streamMediaType is the media type of a response that is passed on event by event.
	streamMediaType = "text/event-stream"
	// maxRefusalBytes bounds the body of a response that says that the request did not run.
	maxRefusalBytes = 64 << 10
)

// refuseNoReply is logged if a controller did not reply.
const refuseNoReply enginelink.RefuseReason = "no-answer"

// causeNewerVersion is logged if a newer version was named while the grant was pending.
const causeNewerVersion = "newer-version"

// serveEngine serves a request for an engine. It chooses an engine, pins the adapter there,
// sends the request and passes the response on. It repeats this until an engine has
// responded or the request may not be sent again.
func (c *call) serveEngine(ctx context.Context) {
	s := engineSearch{excluded: map[sandbarrow.InstanceID]bool{}, endReason: reasonNoUpstream}
	for ctx.Err() == nil && c.timeLeft() > minSendTime && s.mayContinue() {
		if !c.delaySuspect(ctx) {
			s.endReason = reasonCrashesUpstreams
			break
		}
		c.version = c.minVersion()
		e := c.gateway.chooseEngine(c, s.excluded)
		if s.isFirst() && !c.blocked.waitIsFutile() && (e == nil || !c.gateway.engines.anyUp()) && c.awaitEngines(ctx) {
			continue
		}
		if e = c.coordinateLoad(ctx, &s, e); e == nil {
			break
		}
		c.chosen = e
		version, permit, reserved := c.reserve(ctx, &s, e)
		if !reserved {
			continue
		}
		if s.endReason = c.attemptRefusal(); s.endReason != "" {
			permit.release()
			c.unpin(e)
			break
		}
		if c.attemptEngine(ctx, &s, e, version, permit) {
			return
		}
	}
	c.endSearch(ctx, s.endReason)
}

// reserve acquires what a send to an engine needs: a permit if the engine names a limit, and
// the adapter's pin. If either is refused, it releases the other one and returns false.
func (c *call) reserve(ctx context.Context, s *engineSearch, e *candidate) (sandbarrow.AdapterVersion, *sendPermit, bool) {
	permit, granted := c.permitSend(ctx, e.instance)
	if !granted {
		s.excluded[e.instance.ID] = true
		return 0, nil, false
	}
	version, pinned := c.pinAt(ctx, s, e)
	if !pinned {
		permit.release()
		return 0, nil, false
	}
	if permit, granted = c.renewPermit(ctx, e.instance, permit); !granted {
		c.unpin(e)
		return 0, nil, false
	}
	return version, permit, true
}

// attemptRefusal returns why the request may not be sent to one more engine; "" if it may.
func (c *call) attemptRefusal() reason {
	if why := c.refusalBeforeSend(); why != "" {
		return why
	}
	if !c.maySend() {
		return reasonBudget
	}
	return ""
}

// awaitEngines waits for pollInterval, because no engine can serve the request yet, as right
// after a start. It reports whether to choose again.
func (c *call) awaitEngines(ctx context.Context) bool {
	if c.elapsed() > maxEnginesWait {
		return false
	}
	pause.For(ctx, pollInterval)
	return ctx.Err() == nil
}

// pinAt pins the adapter at an engine and returns the version to run. It returns false if
// the engine refuses the pin or has begun to drain.
func (c *call) pinAt(ctx context.Context, s *engineSearch, e *candidate) (sandbarrow.AdapterVersion, bool) {
	if s.busyRetries >= maxBusyRetries {
		e.spareTokens = 0
	}
	grant, granted := c.acquire(ctx, e, acquireWait(c.spareTime(likelyDeviations), s.acquires, e.others))
	if grant.Refused == enginelink.RefuseBusy {
		e.link.setWaiting(&grant)
		s.busyRetries++
		return 0, false
	}
	if granted && grant.Version < c.minVersion() {
		// A newer version was named while the request waited for its adapter and for the
		// prompts ahead of it. The newer one is acquired instead, possibly at this engine.
		c.unpin(e)
		c.logAttempt(e.instance.ID, "no-grant", causeNewerVersion, e)
		return 0, false
	}
	s.recordAcquire(e.instance.ID, grant.Refused)
	if !granted {
		e.link.dropExpected(c.key)
		s.endReason = reasonSlots
		c.logAttempt(e.instance.ID, "no-grant", string(grant.Refused), e)
		return 0, false
	}
	if !c.gateway.upstreams.accepts(e.instance) {
		c.unpin(e) // the engine began to drain while it loaded the adapter
		s.endReason = reasonNoUpstream
		return 0, false
	}
	e.granted = grant.Weights()
	c.gateway.demand.count(c.service.ID, c.key)
	c.confirmMove(e)
	return grant.Version, true
}

// acquire requests a pin of the adapter from the engine's controller. If the controller is
// not linked, the request goes to an engine that is listed with the adapter loaded. The
// engine itself refuses it if the adapter is no longer loaded. wait bounds the time until a load begins.
func (c *call) acquire(ctx context.Context, e *candidate, wait time.Duration) (enginelink.Grant, bool) {
	request := &enginelink.Acquire{
		Adapter: c.key.Adapter, DeadlineMS: max(1, boottime.Until(c.callerDeadline).Milliseconds()), GapTargetMS: c.route.EventGapTarget.Milliseconds(), ID: sandbarrow.RequestID(c.id), Instance: e.instance.ID, Model: c.key.Model,
		MaxWaitingTokens: e.maxWaitingTokens(), Priority: c.priority(), PromptPrefixes: c.promptPrefixes, SpareMS: c.spareTime(0).Milliseconds(), Tokens: c.tokens, Version: c.version,
		WaitMS: max(1, wait.Milliseconds()),
	}
	if !e.linked {
		if e.link != nil {
			e.link.addUnreportedPin(ctx, request)
		}
		return enginelink.Grant{Version: c.version}, true
	}
	began := time.Now()
	uncachedTokens := e.uncachedTokens(c.tokens)
	e.link.addWaitingTokens(c.priority(), uncachedTokens)
	defer func() {
		e.link.addWaitingTokens(c.priority(), -uncachedTokens)
		c.acquired += time.Since(began)
	}()
	ctx, cancel := c.untilLatestStart(ctx)
	defer cancel()
	defer c.gateway.upstreams.cancelWhenBlocked(e.instance, c, cancel)()
	g, ok := e.link.acquire(ctx, request)
	if !ok {
		g.Refused = refuseNoReply
	}
	return g, g.Refused == ""
}

// untilLatestStart returns a context that ends when the call can no longer end in its time, if it takes as
// long as others on average. A call with less time from the start may still find room at once.
func (c *call) untilLatestStart(ctx context.Context) (context.Context, context.CancelFunc) {
	if spare := c.spareTime(0); spare > 0 {
		return context.WithTimeout(ctx, spare)
	}
	return context.WithCancel(ctx)
}

// unpin releases the pin at an engine.
func (c *call) unpin(e *candidate) {
	if e.link != nil {
		e.link.report(enginelink.MethodUnpin, sandbarrow.RequestID(c.id))
	}
}

// attemptEngine makes one attempt and reports whether it has ended the call.
func (c *call) attemptEngine(ctx context.Context, s *engineSearch, e *candidate, version sandbarrow.AdapterVersion, permit *sendPermit) bool {
	result := c.tryEngine(ctx, e, version)
	c.unpin(e)
	if result == resultNotSent {
		permit.release()
	}
	if result != resultAnswered {
		c.gateway.metrics.attemptFailed(c.service.ID, c.cause)
		c.logAttempt(e.instance.ID, result.String(), c.cause.Error(), e)
	}
	next, mayHaveRun, endReason := afterAttempt(result, c.committed, c.route.Retryable() && !c.position.unnumbered)
	if mayHaveRun {
		c.ran++
	}
	s.endReason = endReason
	switch next {
	case stepDone:
		return true
	case stepAbort:
		c.abort(endReason)
	case stepPassFailure:
		c.writeResponse(c.failure)
		return true
	}
	return false
}

// endSearch ends a call that no engine has served.
func (c *call) endSearch(ctx context.Context, why reason) {
	switch {
	case c.committed:
		c.abort(why)
	case c.failure != nil:
		c.writeResponse(c.failure)
	default:
		c.giveUp(ctx, why)
	}
}

// tryEngine sends the request to one engine and passes its response on.
func (c *call) tryEngine(ctx context.Context, e *candidate, version sandbarrow.AdapterVersion) attemptResult {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	p := &progress{start: time.Now()}
	if e.linked {
		c.uncachedTokens = e.uncachedTokens(c.tokens)
		e.link.addWaitingTokens(c.priority(), c.uncachedTokens)
		defer func() { e.link.addWaitingTokens(c.priority(), -c.uncachedTokens) }()
	}
	go c.watchProgress(ctx, cancel, e, p)
	c.gateway.upstreams.beginRequest(e.instance.ID)
	began := boottime.Now()
	result := c.runEngine(ctx, e, version, p)
	c.countAttempt()
	if result == resultBroken && !p.proven {
		c.recordBroken(ctx, e.instance, began)
	}
	failed := result == resultBroken && c.request.Context().Err() == nil || result == resultFailed || result == resultNotSent
	c.gateway.upstreams.endRequest(e.instance.ID, failed)
	return result
}

// runEngine sends the request of one attempt and handles the response.
func (c *call) runEngine(ctx context.Context, e *candidate, version sandbarrow.AdapterVersion, p *progress) attemptResult {
	a, sent, err := c.send(ctx, e.instance, version, p)
	switch {
	case errors.Is(err, forward.ErrNotSent):
		return c.failAttempt(ctx, resultNotSent, err)
	case err != nil:
		return c.failAttempt(ctx, resultBroken, err)
	}
	defer a.Close()
	c.gateway.upstreams.observeResponse(e.instance, sent, a)
	if c.notRun(a) {
		c.discardBody(a)
		return c.failAttempt(ctx, resultNotRun, errors.Errorf("status %d", a.Status))
	}
	if !isStream(a) {
		return c.passComplete(ctx, a)
	}
	return c.passEvents(ctx, a, e, p)
}

// discardBody reads the body of a response that says that the request did not run, because the
// connection can be reused only after that. A body that is too large ends the connection.
func (c *call) discardBody(a *forward.UpstreamResponse) {
	body, err := a.Body(maxRefusalBytes)
	if err == nil {
		c.memory.add(-int64(len(body)))
		return
	}
	c.gateway.metrics.attemptFailed(c.service.ID, err)
}

// failAttempt stores the cause of a failed attempt and returns its result. If watchProgress
// cancelled the attempt, the stall is the cause, whatever error followed.
func (c *call) failAttempt(ctx context.Context, result attemptResult, err error) attemptResult {
	if cause := context.Cause(ctx); errors.Is(cause, errStalled) {
		err = cause
	}
	c.cause = err
	return result
}
