package gateway

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/enginelink"
	"sandbarrow.example/sandbarrow/forward"
)

// errNotNext means that an event does not continue what the caller has.
const errNotNext = errors.ConstError("gateway: event does not follow the last one")

// passWhole passes on an engine's answer that is no stream.
func (c *call) passWhole(ctx context.Context, a *forward.Answer) attemptResult {
	body, err := a.Body(maxAnswerBytes)
	if err != nil {
		return c.failAttempt(ctx, resultBroken, err)
	}
	if c.committed {
		return c.failAttempt(ctx, resultBroken, errors.Errorf("status %d within a stream", a.Status))
	}
	whole := &wholeAnswer{answer: a, body: body}
	if a.Status >= http.StatusInternalServerError {
		c.failure = whole
		return c.failAttempt(ctx, resultFailed, errors.Errorf("status %d", a.Status))
	}
	c.ran++
	c.pass(whole)
	return resultAnswered
}

// passEvents passes events on as they arrive, complete ones only, so that another
// engine can continue after the last.
func (c *call) passEvents(ctx context.Context, a *forward.Answer, e *candidate, p *progress) attemptResult {
	control := http.NewResponseController(c.writer)
	for {
		event, err := a.Event()
		if err == io.EOF && c.committed {
			c.ran++
			c.answeredBy(a)
			c.finish(a.Status, "")
			return resultAnswered
		}
		if err != nil {
			return c.failAttempt(ctx, resultBroken, err)
		}
		c.progressed(e, p)
		if !c.follows(event) {
			return c.failAttempt(ctx, resultBroken, errNotNext)
		}
		if !c.committed {
			c.commit(a)
		}
		if _, err := c.writer.Write(event); err != nil {
			return c.failAttempt(ctx, resultBroken, errors.Annotate(err, "to the caller"))
		}
		if err := control.Flush(); err != nil {
			return c.failAttempt(ctx, resultBroken, errors.Annotate(err, "to the caller"))
		}
		c.passed(time.Now())
	}
}

// progressed notes that an attempt has made progress, and reports what follows from it.
func (c *call) progressed(e *candidate, p *progress) {
	if !p.begun.Load() {
		c.markRead(e)
	} else if !p.pauseReported && c.pausedTooLong(p.sinceLast()) {
		p.pauseReported = true
		c.reportPause(e)
	}
	p.record()
	if !p.proven && p.provenFor(provenRun) {
		p.proven = true
		c.clearEnds()
	}
}

// passed counts an event that the caller has got.
func (c *call) passed(now time.Time) {
	if c.events > 0 {
		c.paused = max(c.paused, now.Sub(c.lastPassed))
	}
	c.events++
	c.lastPassed = now
}

// markRead reports that the engine has read the prompt, at the first event of an
// attempt. That of a continued stream counts too, else its prompt would count as
// waiting until the stream ends.
func (c *call) markRead(e *candidate) {
	if !e.linked {
		return
	}
	e.link.report(enginelink.MethodResponseStarted, sandbarrow.RequestID(c.id))
	e.link.addTokens(c.priority(), -c.unread)
	c.unread = 0
}

// pausedTooLong reports whether a pause between two events makes the answer late.
func (c *call) pausedTooLong(pause time.Duration) bool {
	return c.route.EventGapTarget > 0 && pause > c.route.EventGapTarget
}

// reportPause reports that the engine has paused the stream for too long, so that its
// controller lets it read fewer prompts at once.
func (c *call) reportPause(e *candidate) {
	if e.linked {
		e.link.report(enginelink.MethodPaused, sandbarrow.RequestID(c.id))
	}
}

// commit gives the head of a stream to the caller, right before its first event.
func (c *call) commit(a *forward.Answer) {
	c.committed = true
	c.copyHead(a)
	c.writer.WriteHeader(a.Status)
	c.first = c.elapsed()
	c.gateway.metrics.firstEvent(c, c.first)
}

// follows reports whether an event continues what the caller has, and keeps its
// id. Events without an id, or with one that is no number, can't be compared and
// pass.
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
