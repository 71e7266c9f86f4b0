package entry

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"sandbarrow.example/sandbarrow"
)

// problemType is the media type of RFC 9457.
const problemType = "application/problem+json"

// Problem is the body of an error response, as defined by RFC 9457. Outcome, Reason, RequestID
// and RetryAfterMS are extensions of this project.
type Problem struct {
	Detail       string               `json:"detail"`
	Outcome      sandbarrow.Outcome   `json:"outcome"`
	Reason       sandbarrow.Reason    `json:"reason"`
	RequestID    sandbarrow.RequestID `json:"request_id"`
	RetryAfterMS int64                `json:"retry_after_ms,omitempty"`
	Status       int                  `json:"status"`
	Title        string               `json:"title"`
	Type         string               `json:"type"`
}

var statusByReason = map[sandbarrow.Reason]int{
	sandbarrow.ReasonResponseBroken:  http.StatusBadGateway,
	sandbarrow.ReasonBadRequest:      http.StatusBadRequest,
	sandbarrow.ReasonClaimed:         http.StatusConflict,
	sandbarrow.ReasonDeadline:        http.StatusGatewayTimeout,
	sandbarrow.ReasonNotFound:        http.StatusNotFound,
	sandbarrow.ReasonRateLimit:       http.StatusTooManyRequests,
	sandbarrow.ReasonTooLarge:        http.StatusRequestEntityTooLarge,
	sandbarrow.ReasonUnauthenticated: http.StatusUnauthorized,
	sandbarrow.ReasonUnknownModel:    http.StatusNotFound,
	sandbarrow.ReasonUpstream:        http.StatusBadGateway,
}

func problemOf(id sandbarrow.RequestID, r *sandbarrow.Refusal) Problem {
	status, ok := statusByReason[r.Reason]
	if !ok || r.Outcome == sandbarrow.OutcomeNotRun && status == http.StatusBadGateway {
		status = http.StatusServiceUnavailable
	}
	return Problem{
		Detail:       r.Detail,
		Outcome:      r.Outcome,
		Reason:       r.Reason,
		RequestID:    id,
		RetryAfterMS: r.RetryAfter.Milliseconds(),
		Status:       status,
		Title:        http.StatusText(status),
		Type:         "about:blank",
	}
}

// writeProblem writes a refusal as the response.
func writeProblem(ctx *fasthttp.RequestCtx, id sandbarrow.RequestID, r *sandbarrow.Refusal) {
	p := problemOf(id, r)
	body, _ := json.Marshal(p) // strings and numbers always marshal
	ctx.Response.Reset()
	ctx.SetStatusCode(p.Status)
	ctx.SetContentType(problemType)
	ctx.Response.Header.Set(headerRequestID, string(id))
	if r.RetryAfter > 0 {
		ctx.Response.Header.Set("Retry-After", strconv.Itoa(int(math.Ceil(r.RetryAfter.Seconds()))))
	}
	ctx.SetBody(body)
}

// clampRetryAfter limits a Retry-After to a range that is useful to callers.
func clampRetryAfter(d time.Duration) time.Duration {
	return min(time.Minute, max(100*time.Millisecond, d))
}
