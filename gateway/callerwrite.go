package gateway

import (
	"net/http"
	"os"
	"time"

	"github.com/juju/errors"
)

// callerChunkBytes is the largest part of a response that is written at once. Each part has a deadline
// of its own, so that a caller that reads slowly is not taken for one that reads nothing.
const callerChunkBytes = 16 << 10

// writeDeadline decides by when a caller must have read a part of a response: a caller may read
// nothing for as long as the route's timeout, and for bound at least. ok is false without a bound.
//
// A blocked write otherwise has no end. It holds the request's pin at its engine, and the
// upstream's response stays unread.
func writeDeadline(now time.Time, bound, routeTimeout time.Duration) (deadline time.Time, ok bool) {
	return now.Add(max(bound, routeTimeout)), bound > 0
}

// extendWriteDeadline gives the caller time for the next part of the response. The deadline stays
// set for what the server writes after the handler.
func (c *call) extendWriteDeadline() {
	timeout := time.Duration(0)
	if c.route != nil {
		timeout = c.route.Timeout
	}
	if deadline, ok := writeDeadline(time.Now(), c.gateway.config.StallBound, timeout); ok {
		_ = http.NewResponseController(c.writer).SetWriteDeadline(deadline) // fails only if the connection is closed
	}
}

// writeToCaller writes a part of the response.
func (c *call) writeToCaller(body []byte) error {
	for len(body) > 0 {
		n := min(len(body), callerChunkBytes)
		c.extendWriteDeadline()
		if _, err := c.writer.Write(body[:n]); err != nil {
			return c.recordWriteError(err)
		}
		body = body[n:]
	}
	return nil
}

// passEvent sends an event to the caller.
func (c *call) passEvent(control *http.ResponseController, event []byte) error {
	if err := c.writeToCaller(event); err != nil {
		return err
	}
	return c.flushToCaller(control)
}

// flushToCaller sends what has been written.
func (c *call) flushToCaller(control *http.ResponseController) error {
	if err := control.Flush(); err != nil {
		return c.recordWriteError(err)
	}
	return nil
}

// recordWriteError records whether a write failed because the caller read nothing. The server has
// then cancelled the request's context, as after a disconnect.
func (c *call) recordWriteError(err error) error {
	c.writeFailed = true
	if errors.Is(err, os.ErrDeadlineExceeded) && !c.stalled {
		c.stalled = true
		c.gateway.metrics.stalledCallers.Inc()
	}
	return errors.Annotate(err, "write to the caller")
}

// goneReason returns why the caller no longer gets its response.
func (c *call) goneReason() reason {
	if c.stalled {
		return reasonCallerStalled
	}
	return reasonCallerLeft
}
