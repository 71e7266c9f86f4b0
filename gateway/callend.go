package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"runtime/debug"
	"strconv"
	"time"

	"sandbarrow.example/sandbarrow/access"
	"sandbarrow.example/sandbarrow/forward"
	"sandbarrow.example/sandbarrow/internal/boottime"
)

// retryAfter is the mean delay after which a refused caller may retry. It is randomized so that
// refused callers do not retry all at once. A short delay serves them better than the expected wait
// would.
const retryAfter = 250 * time.Millisecond

// reason is why a call ended without a response from an upstream.
type reason string

// The reasons for the end of a call.
const (
	reasonBadRequest reason = "bad-request"
	// reasonBodyStalled is a request whose body did not arrive by its deadline.
	reasonBodyStalled reason = "body-stalled"
	reasonBroken      reason = "broken"
	reasonBudget      reason = "retry-budget"
	// reasonContended is a request that no contended upstream could end in the time left.
	reasonContended reason = "upstreams-contended"
	reasonDeadline  reason = "deadline"
	// reasonCrashesUpstreams is a request under which upstreams have crashed.
	reasonCrashesUpstreams reason = "ends-upstreams"
	reasonCallerLeft       reason = "caller-left"
	// reasonCallerStalled is a caller that read nothing of its response for too long.
	reasonCallerStalled reason = "caller-stalled"
	// reasonEvacuated is a request that only upstreams of evacuated failure domains could serve.
	reasonEvacuated reason = "evacuated"
	reasonLimit     reason = "limit"
	// reasonMemory is a request that the gateway had no memory for.
	reasonMemory   reason = "memory"
	reasonNoConfig reason = "no-configuration"
	// reasonPanic is a request whose handler panicked.
	reasonPanic      reason = "panic"
	reasonNoLeader   reason = "no-quota-leader"
	reasonNoRoute    reason = "no-route"
	reasonNoUpstream reason = "no-upstream"
	// reasonOtherSoftware is a stream of whose software version no upstream is left.
	reasonOtherSoftware reason = "no-upstream-of-version"
	reasonRefused       reason = "upstream-refused"
	reasonSlots         reason = "no-slot"
	reasonStale         reason = "stale-configuration"
	reasonStopping      reason = "stopping"
	reasonTooLarge      reason = "too-large"
	reasonUnknownKey    reason = "unknown-key"
	// reasonUnknownStream is a resumed stream of which no process knows where it began.
	reasonUnknownStream reason = "unknown-stream"
	// reasonUpstreamBackoff is a request for which each remaining upstream is in backoff.
	reasonUpstreamBackoff reason = "upstream-backoff"
	// reasonUpstreamLimit is a request for which each remaining upstream has reached its limit.
	reasonUpstreamLimit reason = "upstream-limit"
)

// completeResponse is a response whose body has been read to the end.
type completeResponse struct {
	response *forward.UpstreamResponse
	body     []byte
}

// abort cuts off a response that has begun, so that the caller does not take it for complete.
func (c *call) abort(why reason) {
	if c.request.Context().Err() != nil {
		why = c.goneReason()
	}
	c.finish(0, why)
	panic(http.ErrAbortHandler)
}

// recoverPanic ends a call whose handler has panicked, unless that is how it aborts a response. A
// caller without a response gets one that promises nothing, as the request may have run.
func (c *call) recoverPanic() {
	value := recover()
	if value == nil {
		return
	}
	if value == any(http.ErrAbortHandler) {
		panic(value)
	}
	c.gateway.metrics.panics.Inc()
	c.gateway.logger.Error("handler panicked", "request", c.id, "panic", fmt.Sprint(value), "stack", string(debug.Stack()))
	if c.committed {
		c.abort(reasonPanic)
	}
	c.refuse(http.StatusInternalServerError, reasonPanic)
}

// copyHeader copies the header of an upstream's response to the caller's response.
func (c *call) copyHeader(a *forward.UpstreamResponse) {
	h := c.writer.Header()
	for name, values := range forward.WithoutHopByHop(a.Header) {
		h[name] = values
	}
	c.announceClose()
}

// announceClose lets the caller know that its connection ends with the response, if the gateway stops.
// The stop may have begun after the request.
func (c *call) announceClose() {
	if c.gateway.stopping.Load() != nil {
		c.writer.Header().Set("Connection", "close")
	}
}

// giveUp ends a call that has no response from an upstream.
func (c *call) giveUp(ctx context.Context, why reason) {
	late := c.timeLeft() <= minSendTime
	if c.request.Context().Err() != nil {
		c.finish(0, c.goneReason())
		panic(http.ErrAbortHandler) // the caller has disconnected
	}
	if why == reasonUnknownKey && c.ran == 0 {
		c.refuse(http.StatusUnauthorized, why)
		return
	}
	status, why := endStatus(c.ran, late || ctx.Err() != nil, c.unservedReason(why))
	if c.endedByStop() {
		why = reasonStopping
	}
	switch why {
	case reasonContended:
		c.refuseWithRetryAfter(status, why, c.plain.retryAfter(boottime.Now()))
	case reasonEvacuated:
		c.refuseWithRetryAfter(status, why, jitter(evacuatedRetryAfter))
	case reasonNoLeader:
		c.refuseWithRetryAfter(status, why, c.leaderRetryAfter())
	case reasonUpstreamBackoff, reasonUpstreamLimit:
		c.refuseWithRetryAfter(status, why, c.blocked.retryAfter(boottime.Now()))
	default:
		c.refuse(status, why)
	}
}

// writeResponse sends a complete response to the caller.
func (c *call) writeResponse(got *completeResponse) {
	c.recordResponse(got.response)
	c.copyHeader(got.response)
	c.committed = true
	if c.request.Method != http.MethodHead {
		c.writer.Header().Set("Content-Length", strconv.Itoa(len(got.body)))
	}
	c.writer.WriteHeader(got.response.Status)
	if err := c.writeToCaller(got.body); err != nil && c.stalled {
		c.finish(got.response.Status, reasonCallerStalled)
		return
	}
	c.finish(got.response.Status, "") // the caller may have disconnected
}

// refuse ends the call with a response of the gateway itself.
func (c *call) refuse(status int, why reason) {
	c.refuseWithRetryAfter(status, why, jitter(retryAfter))
}

// refuseWithRetryAfter ends the call with a response of the gateway itself. It sets Retry-After if
// a retry may help.
func (c *call) refuseWithRetryAfter(status int, why reason, retryIn time.Duration) {
	c.announceClose()
	h := c.writer.Header()
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		h.Set("Retry-After", strconv.FormatFloat(retryIn.Seconds(), 'f', 3, 64))
	}
	if c.id != "" {
		h.Set(c.gateway.config.Headers.RequestID, c.id)
	}
	if status == http.StatusUnauthorized {
		h.Set("WWW-Authenticate", access.Scheme)
	}
	c.committed = true
	contentType, body := refusalBody(status, why)
	h.Set("Content-Type", contentType)
	c.writer.WriteHeader(status)
	_, _ = c.writer.Write(body) // the caller may have disconnected
	c.finish(status, why)
}

// problem is the RFC 9457 body of a refusal due to the caller's key or limit.
type problem struct {
	Detail string `json:"detail"`
	Status int    `json:"status"`
	Title  string `json:"title"`
	Type   string `json:"type"`
}

// refusalBody returns the body of a refusal. It is a problem document if the refusal is due to the
// caller's key or limit, and the reason as plain text otherwise.
func refusalBody(status int, why reason) (contentType string, body []byte) {
	if status != http.StatusUnauthorized && status != http.StatusTooManyRequests {
		return "text/plain; charset=utf-8", []byte(string(why) + "\n")
	}
	p := problem{Detail: string(why) + ": the request did not run", Status: status, Title: http.StatusText(status), Type: "about:blank"}
	body, _ = json.Marshal(p) // strings and numbers always marshal
	return "application/problem+json", body
}
