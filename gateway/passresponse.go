package gateway

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/enginelink"
	"sandbarrow.example/sandbarrow/forward"
	"sandbarrow.example/sandbarrow/internal/boottime"
)

// errEventOutOfOrder means that an event does not follow the last one sent to the caller.
const errEventOutOfOrder = errors.ConstError("gateway: event does not follow the last one")

// errEventTruncated means that a stream has ended within an event.
const errEventTruncated = errors.ConstError("gateway: stream ends within an event")

// passComplete passes on an engine's response that is not a stream.
func (c *call) passComplete(ctx context.Context, a *forward.UpstreamResponse) attemptResult {
	body, err := a.Body(maxResponseBytes)
	if err != nil {
		return c.failAttempt(ctx, resultBroken, err)
	}
	c.phase = phaseResponded
	if c.committed {
		return c.failAttempt(ctx, resultBroken, errors.Errorf("status %d instead of the rest of a stream", a.Status))
	}
	complete := &completeResponse{response: a, body: body}
	if a.Status >= http.StatusInternalServerError {
		c.failure = complete
		return c.failAttempt(ctx, resultFailed, errors.Errorf("status %d", a.Status))
	}
	c.ran++
	c.writeResponse(complete)
	return resultAnswered
}

// passEvents passes events on as they arrive. It passes complete events only, so that another
// engine can resume after the last one.
func (c *call) passEvents(ctx context.Context, a *forward.UpstreamResponse, e *candidate, p *progress) attemptResult {
	control := http.NewResponseController(c.writer)
	for begun := false; ; begun = true {
		event, err := a.Event()
		complete := err == io.EOF && c.committed
		switch {
		case complete:
		case err != nil:
			return c.failAttempt(ctx, resultBroken, err)
		default:
			c.recordProgress(e, p)
			if !c.position.isNext(event) {
				return c.failAttempt(ctx, resultBroken, errEventOutOfOrder)
			}
		}
		if !begun {
			// This holds for the end too, since other software may make fewer events.
			if err := c.beginStream(e.instance); err != nil {
				return c.failAttempt(ctx, resultBroken, err)
			}
		}
		if complete {
			return c.completeStream(a)
		}
		if err := c.passNext(control, a, event); err != nil {
			return c.failAttempt(ctx, resultBroken, err)
		}
	}
}

// passNext passes on the next event, after the header if it is the first one.
func (c *call) passNext(control *http.ResponseController, a *forward.UpstreamResponse, event []byte) error {
	if !c.committed {
		c.commit(a)
	}
	if err := c.passEvent(control, event); err != nil {
		return err
	}
	c.position.advance(event)
	c.recordEvent(time.Now())
	return nil
}

// completeStream ends a stream that its caller has received to the end.
func (c *call) completeStream(a *forward.UpstreamResponse) attemptResult {
	c.phase = phaseResponded
	c.ran++
	c.recordResponse(a)
	c.finish(a.Status, "")
	return resultAnswered
}

// recordProgress records that an attempt has made progress, and makes the reports that follow from
// it.
func (c *call) recordProgress(e *candidate, p *progress) {
	if !p.begun.Load() {
		c.reportPrefillDone(e)
	} else if !p.pauseReported && c.pausedTooLong(p.sinceLast()) {
		p.pauseReported = true
		c.reportPause(e)
	}
	p.record()
	if !p.proven && p.provenFor(minProvenRun) {
		p.proven = true
		c.clearCrashes()
		c.clearParts()
		c.endTrial()
	}
}

// recordEvent counts an event that was sent to the caller.
func (c *call) recordEvent(now time.Time) {
	if c.events > 0 {
		c.longestPause = max(c.longestPause, now.Sub(c.lastPassed))
	}
	c.events++
	c.lastPassed = now
}

// reportPrefillDone reports at the first event of an attempt that the engine has prefilled the
// prompt. A resumed stream reports it too, because its prompt would otherwise count as waiting
// until the stream ends.
func (c *call) reportPrefillDone(e *candidate) {
	if !e.linked {
		return
	}
	e.link.report(enginelink.MethodResponseStarted, sandbarrow.RequestID(c.id))
	e.link.addWaitingTokens(c.priority(), -c.uncachedTokens)
	c.uncachedTokens = 0
}

// pausedTooLong reports whether a pause between two events exceeds the route's gap target.
func (c *call) pausedTooLong(pause time.Duration) bool {
	return c.route.EventGapTarget > 0 && pause > c.route.EventGapTarget
}

// reportPause reports that the engine has paused the stream for too long. Its controller then lets
// it prefill fewer prompts at once.
func (c *call) reportPause(e *candidate) {
	if e.linked {
		e.link.report(enginelink.MethodPaused, sandbarrow.RequestID(c.id))
	}
}

// commit sends the header of a stream to the caller, right before its first event.
func (c *call) commit(a *forward.UpstreamResponse) {
	c.committed = true
	c.copyHeader(a)
	c.writer.WriteHeader(a.Status)
	c.first = c.elapsed()
	c.gateway.metrics.firstEvent(c, c.first)
	c.gateway.startTimes.observe(c.route.Name, boottime.Since(c.sentAt))
}
