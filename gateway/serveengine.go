package gateway

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/juju/errors"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/enginelink"
	"sandbarrow.example/sandbarrow/forward"
	"sandbarrow.example/sandbarrow/internal/pause"
)

const (
	// enginesWait bounds the wait for any engine, as after a loss of all power.
	enginesWait = 1200 * time.Millisecond
	// lookPause is the pause between two looks at what is awaited: short against enginesWait and
	// viewWait.
	lookPause = 40 * time.Millisecond
	// streamMediaType is the type of an answer that is passed on event by event.
	streamMediaType = "text/event-stream"
)

// refuseNoAnswer stands in logs for a controller that did not answer.
const refuseNoAnswer enginelink.RefuseReason = "no-answer"

// causeNewerVersion stands in logs for a grant of a version that is old by now.
const causeNewerVersion = "newer-version"

// serveEngine serves a request that an engine runs: it chooses an engine, pins the
// adapter there, sends the request and passes the answer on, until an engine has
// answered or the request may not be sent again.
func (c *call) serveEngine(ctx context.Context) {
	s := engineSearch{excluded: map[sandbarrow.InstanceID]bool{}, why: reasonNoUpstream}
	for ctx.Err() == nil && c.left() > leastSend && s.mayAsk() {
		c.holdSuspect(ctx)
		c.version = c.leastVersion()
		e := c.gateway.chooseEngine(c, s.excluded)
		if s.first() && !c.blocked.decisive() && (e == nil || !c.gateway.engines.anyUp()) && c.awaitEngines(ctx) {
			continue
		}
		if e == nil {
			break
		}
		c.chosen = e
		patience := c.callerEnds.Sub(c.began)
		if s.first() && refuseEarly(e, c.elapsed(), c.route.Objective, c.route.Timeout, patience) {
			c.refuse(http.StatusServiceUnavailable, reasonOverload)
			return
		}
		version, permit, reserved := c.reserve(ctx, &s, e)
		if !reserved {
			continue
		}
		if s.why = c.mayAttempt(); s.why != "" {
			permit.unused()
			c.unpin(e)
			break
		}
		if c.attemptEngine(ctx, &s, e, version, permit) {
			return
		}
	}
	c.endSearch(ctx, s.why)
}

// reserve takes what a send to an engine needs: a permit where the engine names a limit, and
// the adapter's pin. It returns false, with nothing kept, where either is not to be had.
func (c *call) reserve(ctx context.Context, s *engineSearch, e *candidate) (sandbarrow.AdapterVersion, *sendPermit, bool) {
	permit, granted := c.permitSend(ctx, e.instance)
	if !granted {
		s.excluded[e.instance.ID] = true
		return 0, nil, false
	}
	version, pinned := c.pinAt(ctx, s, e)
	if !pinned {
		permit.unused()
		return 0, nil, false
	}
	if permit, granted = c.renewPermit(ctx, e.instance, permit); !granted {
		c.unpin(e)
		return 0, nil, false
	}
	return version, permit, true
}

// mayAttempt returns why the request may not be sent to one more engine; "" where it may.
func (c *call) mayAttempt() reason {
	if why := c.refusalBeforeSend(); why != "" {
		return why
	}
	if !c.maySend() {
		return reasonBudget
	}
	return ""
}

// awaitEngines waits a moment where no engine can serve the request, as right
// after a start, and reports whether to look again.
func (c *call) awaitEngines(ctx context.Context) bool {
	if c.elapsed() > enginesWait {
		return false
	}
	pause.For(ctx, lookPause)
	return ctx.Err() == nil
}

// pinAt pins the adapter at an engine and returns the version to run. It returns
// false where the engine does not grant it or drains by now.
func (c *call) pinAt(ctx context.Context, s *engineSearch, e *candidate) (sandbarrow.AdapterVersion, bool) {
	if s.busy >= maxBusy {
		e.spareTokens = 0
	}
	grant, granted := c.acquire(ctx, e, acquireWaits[s.acquires])
	if grant.Refused == enginelink.RefuseBusy {
		e.link.setWaiting(&grant)
		s.busy++
		return 0, false
	}
	if granted && grant.Version < c.leastVersion() {
		// A newer version was named while the request waited for its adapter and for the
		// prompts before it: it is asked for anew, also of this engine.
		c.unpin(e)
		c.logAttempt(e.instance.ID, "no-grant", causeNewerVersion, e)
		return 0, false
	}
	s.asked(e.instance.ID, grant.Refused)
	if !granted {
		s.why = reasonSlots
		c.logAttempt(e.instance.ID, "no-grant", string(grant.Refused), e)
		return 0, false
	}
	if !c.gateway.upstreams.accepts(e.instance) {
		c.unpin(e) // it began to drain while the adapter was loaded
		s.why = reasonNoUpstream
		return 0, false
	}
	e.granted = grant.Weights()
	c.settleMove(e)
	return grant.Version, true
}

// acquire asks an engine's controller to pin the adapter. Without its controller
// the request goes to an engine that is listed as holding the adapter, and the
// engine itself refuses it where that is no longer so.
func (c *call) acquire(ctx context.Context, e *candidate, patience time.Duration) (enginelink.Grant, bool) {
	wait := min(patience, c.left())
	ask := &enginelink.Acquire{
		Adapter: c.key.Adapter, ID: sandbarrow.RequestID(c.id), Instance: e.instance.ID, Model: c.key.Model,
		MostWaiting: e.mostWaitingTokens(), Priority: c.priority(), Stretches: c.stretches, Tokens: c.tokens, Version: c.version, UsefulMS: c.useful(e).Milliseconds(),
		WaitMS: max(1, wait.Milliseconds()),
	}
	if !e.linked {
		if e.link != nil {
			e.link.takePin(ctx, ask)
		}
		return enginelink.Grant{Version: c.version}, true
	}
	began := time.Now()
	unread := e.unread(c.tokens)
	e.link.addTokens(c.priority(), unread)
	defer func() {
		e.link.addTokens(c.priority(), -unread)
		c.acquired += time.Since(began)
	}()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer c.gateway.upstreams.await(e.instance.ID, c, cancel)()
	g, ok := e.link.acquire(ctx, ask)
	if !ok {
		g.Refused = refuseNoAnswer
	}
	return g, g.Refused == ""
}

// useful is how long a grant at an engine still lets the answer be in time; it may be
// negative.
func (c *call) useful(e *candidate) time.Duration {
	return c.untilObjective() - e.speed().TimeToFirstEvent(e.unread(c.tokens))
}

// unpin ends the pin at an engine.
func (c *call) unpin(e *candidate) {
	if e.link != nil {
		e.link.report(enginelink.MethodDone, sandbarrow.RequestID(c.id))
	}
}

// attemptEngine makes one attempt and reports whether the call has ended with it.
func (c *call) attemptEngine(ctx context.Context, s *engineSearch, e *candidate, version sandbarrow.AdapterVersion, permit *sendPermit) bool {
	result := c.tryEngine(ctx, e, version)
	c.unpin(e)
	if result == verdictNotSent {
		permit.unused()
	}
	if result != verdictAnswered {
		c.logAttempt(e.instance.ID, result.String(), c.cause, e)
	}
	next, mayHaveRun, why := afterAttempt(result, c.committed, c.route.Retryable())
	if mayHaveRun {
		c.ran++
	}
	s.why = why
	switch next {
	case stepDone:
		return true
	case stepAbort:
		c.abort(why)
	case stepPassFailure:
		c.pass(c.failure)
		return true
	}
	return false
}

// endSearch ends a call that no engine answered.
func (c *call) endSearch(ctx context.Context, why reason) {
	switch {
	case c.committed:
		c.abort(why)
	case c.failure != nil:
		c.pass(c.failure)
	default:
		c.giveUp(ctx, why)
	}
}

// tryEngine sends the request to one engine and passes its answer on.
func (c *call) tryEngine(ctx context.Context, e *candidate, version sandbarrow.AdapterVersion) verdict {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	p := &progress{start: time.Now()}
	if e.linked {
		c.unread = e.unread(c.tokens)
		e.link.addTokens(c.priority(), c.unread)
		defer func() { e.link.addTokens(c.priority(), -c.unread) }()
	}
	go c.watchProgress(ctx, cancel, e, p)
	c.gateway.upstreams.begin(e.instance.ID)
	result := c.runEngine(ctx, e, version, p)
	c.gateway.crashes.CountAttempt()
	if result == verdictBroken && !p.proven {
		c.noteBroken(ctx, e.instance)
	}
	failed := result == verdictBroken && c.request.Context().Err() == nil || result == verdictFailed || result == verdictNotSent
	c.gateway.upstreams.end(e.instance.ID, failed)
	return result
}

// runEngine makes the exchange of one attempt.
func (c *call) runEngine(ctx context.Context, e *candidate, version sandbarrow.AdapterVersion, p *progress) verdict {
	a, sent, err := c.send(ctx, e.instance, version)
	switch {
	case errors.Is(err, forward.ErrNotSent):
		return c.end(ctx, verdictNotSent, err)
	case err != nil:
		return c.end(ctx, verdictBroken, err)
	}
	defer a.Close()
	c.gateway.upstreams.observe(e.instance, sent, a)
	if c.notRun(a) {
		_, _ = a.Body(maxAnswerBytes) // read so that the connection can be kept
		return c.end(ctx, verdictNotRun, errors.Errorf("status %d", a.Status))
	}
	if a.Status != http.StatusOK || !strings.HasPrefix(a.Header.Get("Content-Type"), streamMediaType) {
		return c.passWhole(ctx, a)
	}
	return c.passEvents(ctx, a, e, p)
}

// end keeps why an attempt did not answer, and returns its verdict. An attempt that
// watchProgress ended failed for that, whatever error followed.
func (c *call) end(ctx context.Context, v verdict, err error) verdict {
	if cause := context.Cause(ctx); errors.Is(cause, errStalled) {
		err = cause
	}
	c.cause = err.Error()
	return v
}
