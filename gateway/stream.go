package gateway

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/enginelink"
	"sandbarrow.example/sandbarrow/forward"
	"sandbarrow.example/sandbarrow/internal/pause"
)

const (
	// watchPause is the pause between looks at a stream's progress.
	watchPause = 250 * time.Millisecond
	// silentGap is how long a stream may pause when its engine is known to be silent.
	silentGap = 400 * time.Millisecond
	// longestGap is how long a begun stream may pause before it is taken elsewhere.
	longestGap = 1800 * time.Millisecond
	// firstGap is the same before the first event.
	firstGap = 3 * time.Second
	// maxAcquires is at how many engines an adapter is asked for.
	maxAcquires = 3
	// maxBusy is how often a choice is made anew because more waits at the engine
	// than was known of.
	maxBusy = 2
	// enginesWait bounds the wait for any engine, lookPause is the pause between looks.
	enginesWait     = 1200 * time.Millisecond
	lookPause       = 40 * time.Millisecond
	streamMediaType = "text/event-stream"
)

// acquireWaits bound the wait for a slot at the first, second and third engine.
var acquireWaits = [maxAcquires]time.Duration{500 * time.Millisecond, 800 * time.Millisecond, 2 * time.Second}

// refuseNoAnswer stands in logs for a controller that did not answer.
const refuseNoAnswer enginelink.RefuseReason = "no-answer"

// errStalled ends an attempt whose engine makes no progress.
const errStalled = errors.ConstError("gateway: stream stalled")

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

// serveEngine serves a request that an engine runs.
func (c *call) serveEngine(ctx context.Context) {
	excluded := map[sandbarrow.InstanceID]bool{}
	why := reasonNoUpstream
	acquires, busy := 0, 0
	others := c.gateway.demand.note(c.began, c.key) - 1
	c.demand = 1 + others*float64(max(1, c.gateway.engines.gateways()))
	for ctx.Err() == nil && time.Until(c.ends) > leastSend && acquires < maxAcquires {
		c.version = c.gateway.estate.View().Version(c.key)
		e := c.gateway.chooseEngine(c, excluded)
		if acquires == 0 && (e == nil || !c.gateway.engines.anyUp()) && c.awaitEngines(ctx) {
			continue
		}
		if e == nil {
			break
		}
		c.chosen = e
		if acquires == 0 && e.late && e.full && c.mayComeBack() {
			c.refuse(http.StatusServiceUnavailable, reasonOverload)
			return
		}
		if busy >= maxBusy {
			e.spare = 0
		}
		grant, ok := c.acquire(ctx, e, acquireWaits[acquires])
		if grant.Refused == enginelink.RefuseBusy {
			e.link.learnWaiting(grant.Waiting)
			busy++
			continue
		}
		excluded[e.instance.ID] = true
		acquires++
		if !ok {
			why = reasonSlots
			c.logAttempt(e.instance.ID, "no-grant", string(grant.Refused), e)
			continue
		}
		if !c.gateway.directory.View().Takes(e.instance) {
			c.releaseUse(e) // it began to leave while the adapter came
			why = reasonNoUpstream
			continue
		}
		if !c.mayRepeat() {
			c.releaseUse(e)
			why = reasonBudget
			break
		}
		result := c.tryEngine(ctx, e, grant.Version)
		c.releaseUse(e)
		if result != verdictAnswered {
			c.logAttempt(e.instance.ID, result.String(), "", e)
		}
		switch result {
		case verdictAnswered:
			return
		case verdictBroken:
			c.ran++
			why = reasonBroken
			if c.committed && !c.route.Repeatable() {
				c.abort(reasonBroken)
			}
		case verdictFailed:
			c.ran++
			why = reasonBroken
			if !c.route.Repeatable() {
				c.pass(c.failure)
				return
			}
		case verdictNotRun:
			why = reasonRefused
		case verdictNotSent:
			why = reasonNoUpstream
		}
	}
	switch {
	case c.committed:
		c.abort(why)
	case c.failure != nil:
		c.pass(c.failure)
	default:
		c.giveUp(ctx, why)
	}
}

// mayComeBack reports whether the caller has hardly waited yet, so that a
// refusal now leaves it time for another try.
func (c *call) mayComeBack() bool {
	return time.Since(c.began) < c.route.Objective/8 && c.callerEnds.Sub(c.began) > c.route.Timeout*97/100
}

// awaitEngines waits a moment where no engine can serve the request, as right
// after a start, and reports whether to look again.
func (c *call) awaitEngines(ctx context.Context) bool {
	if time.Since(c.began) > enginesWait {
		return false
	}
	pause.For(ctx, lookPause)
	return ctx.Err() == nil
}

// acquire obtains the use of the adapter at an engine. Without its controller
// the request goes to an engine that is listed as holding the adapter, and the
// engine itself refuses it where that is no longer so.
func (c *call) acquire(ctx context.Context, e *candidate, patience time.Duration) (enginelink.Grant, bool) {
	wait := min(patience, time.Until(c.ends))
	ask := &enginelink.Acquire{
		Adapter: c.key.Adapter, ID: sandbarrow.RequestID(c.id), Instance: e.instance.ID, Model: c.key.Model,
		MostWaiting: e.mostWaiting(), Priority: c.route.Priority, Tokens: c.tokens, Version: c.version, UsefulMS: c.useful().Milliseconds(),
		WaitMS: max(1, wait.Milliseconds()),
	}
	if !e.linked {
		if e.link != nil {
			e.link.note(ask) // a controller that is linked meanwhile is told of it
		}
		return enginelink.Grant{Version: c.version}, true
	}
	began := time.Now()
	e.link.await(c.tokens)
	defer func() {
		e.link.await(-c.tokens)
		c.acquired += time.Since(began)
	}()
	g, ok := e.link.acquire(ctx, ask)
	if !ok {
		g.Refused = refuseNoAnswer
	}
	return g, g.Refused == ""
}

// mostWaiting is up to how many waiting prompt tokens this engine is the best
// choice; 0 in any case.
func (e *candidate) mostWaiting() int {
	if e.spare == 0 {
		return 0
	}
	return e.waiting + e.spare
}

// useful is how long a grant still lets the answer be in time.
func (c *call) useful() time.Duration {
	return c.untilObjective(time.Now()) - time.Duration(c.tokens)*tokenDelay - answerDelay
}

func (c *call) releaseUse(e *candidate) {
	if e.link != nil {
		e.link.tell(enginelink.MethodDone, sandbarrow.RequestID(c.id))
	}
}

// tryEngine sends the request to one engine and passes its answer on.
func (c *call) tryEngine(ctx context.Context, e *candidate, version sandbarrow.AdapterVersion) verdict {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	p := &progress{start: time.Now()}
	if e.linked {
		c.awaiting = c.tokens
		e.link.await(c.awaiting)
		defer func() { e.link.await(-c.awaiting) }()
	}
	go c.watchProgress(ctx, cancel, e, p)
	c.gateway.health.begin(e.instance.ID)
	result := c.runEngine(ctx, e, version, p)
	failed := result == verdictBroken && c.request.Context().Err() == nil || result == verdictFailed || result == verdictNotSent
	c.gateway.health.end(e.instance.ID, failed)
	return result
}

func (c *call) runEngine(ctx context.Context, e *candidate, version sandbarrow.AdapterVersion, p *progress) verdict {
	a, err := c.gateway.pool(e.instance).Send(ctx, c.upstreamRequest(e.instance, version))
	if errors.Is(err, forward.ErrNotSent) {
		return verdictNotSent
	}
	c.sent++
	c.last = e.instance.ID
	if err != nil {
		return verdictBroken
	}
	defer a.Close()
	if c.notRun(a) {
		_, _ = a.Body(maxAnswerBytes) // read so that the connection can be kept
		return verdictNotRun
	}
	if a.Status != http.StatusOK || !strings.HasPrefix(a.Header.Get("Content-Type"), streamMediaType) {
		return c.passWhole(a)
	}
	return c.passEvents(a, e, p)
}

// passWhole passes on an answer that is no stream.
func (c *call) passWhole(a *forward.Answer) verdict {
	body, err := a.Body(maxAnswerBytes)
	if err != nil || c.committed {
		return verdictBroken
	}
	whole := &wholeAnswer{answer: a, body: body}
	if a.Status >= http.StatusInternalServerError {
		c.failure = whole
		return verdictFailed
	}
	c.ran++
	c.pass(whole)
	return verdictAnswered
}

// passEvents passes events on as they arrive, whole ones only, so that another
// engine can continue after the last.
func (c *call) passEvents(a *forward.Answer, e *candidate, p *progress) verdict {
	control := http.NewResponseController(c.writer)
	for {
		event, err := a.Event()
		if err == io.EOF && c.committed {
			c.ran++
			c.finish(a.Status, "")
			return verdictAnswered
		}
		if err != nil {
			return verdictBroken
		}
		p.touch()
		if !c.follows(event) {
			return verdictBroken
		}
		if !c.committed {
			c.committed = true
			c.copyHead(a)
			c.writer.WriteHeader(a.Status)
			if e.linked {
				e.link.tell(enginelink.MethodBegun, sandbarrow.RequestID(c.id))
				e.link.await(-c.awaiting)
				c.awaiting = 0
			}
			c.first = time.Since(c.began)
			c.gateway.metrics.firstEvent(c, c.first)
		}
		if _, err := c.writer.Write(event); err != nil {
			return verdictBroken
		}
		if err := control.Flush(); err != nil {
			return verdictBroken
		}
		c.events++
	}
}

// follows reports whether an event continues what the caller has, and notes it.
func (c *call) follows(event []byte) bool {
	id := forward.EventID(event)
	if id == "" {
		return true
	}
	next, err := strconv.ParseInt(id, 10, 64)
	last, lastErr := strconv.ParseInt(c.lastEvent, 10, 64)
	if err == nil && lastErr == nil && next != last+1 {
		return false
	}
	c.lastEvent = id
	return true
}

// abort breaks off an answer that has begun, so that it does not look whole.
func (c *call) abort(why reason) {
	if c.request.Context().Err() != nil {
		why = reasonLeft
	}
	c.finish(0, why)
	panic(http.ErrAbortHandler)
}

// progress is when a stream last made progress.
type progress struct {
	// at is counted from start, on the steady clock.
	at    atomic.Int64
	begun atomic.Bool
	start time.Time
}

func (p *progress) touch() {
	p.begun.Store(true)
	p.at.Store(int64(time.Since(p.start)))
}

// pause is how long there was no progress.
func (p *progress) pause() time.Duration {
	return time.Since(p.start) - time.Duration(p.at.Load())
}

// watchProgress ends an attempt that makes no progress, where the request may
// be taken elsewhere.
func (c *call) watchProgress(ctx context.Context, cancel context.CancelCauseFunc, e *candidate, p *progress) {
	if !c.route.Repeatable() {
		return
	}
	ticker := time.NewTicker(watchPause)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		limit := longestGap
		if !p.begun.Load() {
			limit = firstGap + time.Duration(e.link.waitingTokens())*tokenDelay
		}
		if status, linked := e.link.look(time.Now()); linked && status.Silent {
			limit = silentGap
		}
		if p.pause() > limit {
			cancel(errStalled)
			return
		}
	}
}
