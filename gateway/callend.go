package gateway

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"sandbarrow.example/sandbarrow/access"
	"sandbarrow.example/sandbarrow/forward"
	"sandbarrow.example/sandbarrow/internal/boottime"
)

// retryAfter is when a refused caller may come back, on average, so that refused callers
// do not come back all at once. Soon serves them better than after the expected wait.
const retryAfter = 250 * time.Millisecond

// reason says why a call ended without an upstream's answer.
type reason string

// The reasons of a call's end.
const (
	reasonBadRequest reason = "bad-request"
	reasonBroken     reason = "broken"
	reasonBudget     reason = "retry-budget"
	reasonDeadline   reason = "deadline"
	// reasonEndsUpstreams is a request under which upstreams have ended.
	reasonEndsUpstreams reason = "ends-upstreams"
	reasonLeft          reason = "caller-left"
	reasonLimit         reason = "limit"
	reasonNoConfig      reason = "no-configuration"
	reasonNoLeader      reason = "no-quota-leader"
	reasonNoRoute       reason = "no-route"
	reasonOverload      reason = "overload"
	reasonNoUpstream    reason = "no-upstream"
	reasonRefused       reason = "upstream-refused"
	reasonSlots         reason = "no-slot"
	reasonStale         reason = "stale-configuration"
	reasonStopping      reason = "stopping"
	reasonTooLarge      reason = "too-large"
	reasonUnknownKey    reason = "unknown-key"
	// reasonUpstreamBackoff is a request for which each upstream that is left wants none now.
	reasonUpstreamBackoff reason = "upstream-backoff"
	// reasonUpstreamLimit is a request for which each upstream that is left has had what it
	// takes.
	reasonUpstreamLimit reason = "upstream-limit"
)

// wholeAnswer is an answer that has been read to its end.
type wholeAnswer struct {
	answer *forward.Answer
	body   []byte
}

// abort breaks off an answer that has begun, so that it does not look whole.
func (c *call) abort(why reason) {
	if c.request.Context().Err() != nil {
		why = reasonLeft
	}
	c.finish(0, why)
	panic(http.ErrAbortHandler)
}

// copyHead gives an upstream's head to the caller.
func (c *call) copyHead(a *forward.Answer) {
	h := c.writer.Header()
	for name, values := range passedOn(a.Header) {
		h[name] = values
	}
}

// giveUp ends a call that has no answer.
func (c *call) giveUp(ctx context.Context, why reason) {
	late := c.left() <= minSendTime
	if c.request.Context().Err() != nil {
		c.finish(0, reasonLeft)
		panic(http.ErrAbortHandler) // nobody reads an answer
	}
	if why == reasonUnknownKey && c.ran == 0 {
		c.refuse(http.StatusUnauthorized, why)
		return
	}
	status, why := endStatus(c.ran, late || ctx.Err() != nil, c.unserved(why))
	if why == reasonUpstreamLimit || why == reasonUpstreamBackoff {
		c.refuseFor(status, why, c.blocked.retryAfter(boottime.Now()))
		return
	}
	c.refuse(status, why)
}

// pass gives a complete answer to the caller.
func (c *call) pass(got *wholeAnswer) {
	c.answeredBy(got.answer)
	c.copyHead(got.answer)
	if c.request.Method != http.MethodHead {
		c.writer.Header().Set("Content-Length", strconv.Itoa(len(got.body)))
	}
	c.writer.WriteHeader(got.answer.Status)
	_, _ = c.writer.Write(got.body) // a caller that left needs no answer
	c.finish(got.answer.Status, "")
}

// refuse ends the call with an answer of the gateway's own.
func (c *call) refuse(status int, why reason) {
	c.refuseFor(status, why, jitter(retryAfter))
}

// refuseFor ends the call with an answer of the gateway's own, which says when to come
// back where that may help.
func (c *call) refuseFor(status int, why reason, again time.Duration) {
	h := c.writer.Header()
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		h.Set("Retry-After", strconv.FormatFloat(again.Seconds(), 'f', 3, 64))
	}
	if c.id != "" {
		h.Set(c.gateway.config.Headers.RequestID, c.id)
	}
	if status == http.StatusUnauthorized {
		h.Set("WWW-Authenticate", access.Scheme)
	}
	contentType, body := refusalBody(status, why)
	h.Set("Content-Type", contentType)
	c.writer.WriteHeader(status)
	_, _ = c.writer.Write(body) // a caller that left needs no answer
	c.finish(status, why)
}

// problem is the body of a refusal that concerns the caller's own rights, by RFC 9457.
type problem struct {
	Detail string `json:"detail"`
	Status int    `json:"status"`
	Title  string `json:"title"`
	Type   string `json:"type"`
}

// refusalBody is the body of a refusal: a problem for one that concerns the caller's key or
// limit, else the reason as text.
func refusalBody(status int, why reason) (contentType string, body []byte) {
	if status != http.StatusUnauthorized && status != http.StatusTooManyRequests {
		return "text/plain; charset=utf-8", []byte(string(why) + "\n")
	}
	p := problem{Detail: string(why) + ": the request did not run", Status: status, Title: http.StatusText(status), Type: "about:blank"}
	body, _ = json.Marshal(p) // texts and numbers always marshal
	return "application/problem+json", body
}
