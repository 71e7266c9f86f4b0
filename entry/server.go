package entry

import (
	"bytes"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/valyala/fasthttp"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/burn"
	"sandbarrow.example/sandbarrow/config"
	"sandbarrow.example/sandbarrow/internal/boottime"
	"sandbarrow.example/sandbarrow/logging"
)

// The headers of requests and responses between callers and entries.
const (
	headerDeadline       = "Sandbarrow-Deadline-Ms"
	headerIdempotencyKey = "Idempotency-Key"
	headerModel          = "Sandbarrow-Model"
	headerOnce           = "Sandbarrow-Once"
	headerPrefix         = "Sandbarrow-"
	headerRequestID      = "X-Request-Id"
	headerRevision       = "Sandbarrow-Revision"
)

const (
	// maxDeadline bounds the deadline that a caller may request.
	maxDeadline = 10 * time.Minute
	// maxDrainBytes bounds the bytes read and discarded from a body that is too large.
	maxDrainBytes = 64 << 20
)

// request is one HTTP request with its caller and the resolved settings.
type request struct {
	adapter        sandbarrow.ModelRef // zero until the model is resolved
	body           []byte
	caller         *config.Caller
	class          *config.Class
	ctx            *fasthttp.RequestCtx
	deadline       time.Time
	id             sandbarrow.RequestID
	atMostOnce     bool
	idempotencyKey string
	started        time.Time
	view           *config.View
}

func (e *Entry) server() *fasthttp.Server {
	return &fasthttp.Server{
		CloseOnShutdown:       true,
		ErrorHandler:          e.serveMalformed,
		Handler:               e.serve,
		MaxRequestBodySize:    e.settings.Entry.MaxBodyBytes,
		Name:                  "sandbarrow",
		NoDefaultServerHeader: true,
		Logger:                logging.NewPrinter(e.logger, "fasthttp"),
		ReadTimeout:           readTimeout,
		StreamRequestBody:     true,
		WriteTimeout:          writeTimeout,
	}
}

// serveMalformed responds to a request that can't be read: it is malformed or arrives too slowly.
func (e *Entry) serveMalformed(ctx *fasthttp.RequestCtx, err error) {
	r := sandbarrow.NotRun(sandbarrow.ReasonBadRequest, err.Error(), 0)
	writeProblem(ctx, newRequestID(), r)
	e.metrics.requests.WithLabelValues("", string(r.Outcome), string(r.Reason)).Inc()
	ctx.SetConnectionClose()
}

func (e *Entry) serve(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch path {
	case "/healthz":
		ctx.SetStatusCode(http.StatusOK)
	case "/metrics":
		e.serveMetrics(ctx)
	case "/readyz":
		if !e.Ready() {
			ctx.SetStatusCode(http.StatusServiceUnavailable)
		}
	default:
		e.serveCaller(ctx, path)
	}
}

func (e *Entry) serveCaller(ctx *fasthttp.RequestCtx, path string) {
	defer func() {
		if e.stopping() {
			ctx.SetConnectionClose() // so that the caller's next request goes to another entry
		}
	}()
	r := &request{ctx: ctx, id: newRequestID(), started: boottime.Now(), view: e.follower.View()}
	if refusal := e.admit(r); refusal != nil {
		e.refuse(r, refusal)
		return
	}
	if refusal := e.readBody(r); refusal != nil {
		e.refuse(r, refusal)
		return
	}
	switch path {
	case "/v1/chat/completions", "/v1/completions":
		e.serveCompletion(r, path)
	case "/v1/models":
		e.serveModels(r)
	default:
		if s, ok := r.view.Service(path); ok {
			e.serveService(r, s, path)
			return
		}
		e.refuse(r, sandbarrow.NotRun(sandbarrow.ReasonNotFound, "no such path: "+path, 0))
	}
}

// admit authenticates the caller, reads the headers and applies the rate limit of the caller's
// class.
func (e *Entry) admit(r *request) *sandbarrow.Refusal {
	if r.view == nil {
		return sandbarrow.NotRun(sandbarrow.ReasonConfiguration, "no configuration yet", noUpstreamRetryAfter)
	}
	key, ok := strings.CutPrefix(string(r.ctx.Request.Header.Peek("Authorization")), "Bearer ")
	if !ok {
		return sandbarrow.NotRun(sandbarrow.ReasonUnauthenticated, "want an Authorization header with a bearer key", 0)
	}
	var err error
	if r.caller, r.class, err = r.view.Caller(key); err != nil {
		return sandbarrow.NotRun(sandbarrow.ReasonUnauthenticated, "the key is not known", 0)
	}
	if refusal := e.readHeaders(r); refusal != nil {
		return refusal
	}
	if ok, wait := e.limits.Admit(time.Now(), r.caller.Class); !ok {
		return sandbarrow.NotRun(sandbarrow.ReasonRateLimit, "class "+string(r.caller.Class)+" is over its limit", wait)
	}
	return nil
}

// readBody reads the body. A body that is too large is drained. Otherwise the connection would be
// reset and the caller might not receive the response.
func (e *Entry) readBody(r *request) *sandbarrow.Refusal {
	limit := e.settings.Entry.MaxBodyBytes
	stream := r.ctx.RequestBodyStream()
	if stream == nil {
		r.body = bytes.Clone(r.ctx.PostBody())
		return nil
	}
	var err error
	if r.body, err = io.ReadAll(io.LimitReader(stream, int64(limit)+1)); err != nil {
		return sandbarrow.NotRun(sandbarrow.ReasonBadRequest, "body: "+err.Error(), 0)
	}
	if len(r.body) <= limit {
		return nil
	}
	_, _ = io.CopyN(io.Discard, stream, maxDrainBytes) // only drains; a failed read changes nothing
	r.ctx.SetConnectionClose()
	return sandbarrow.NotRun(sandbarrow.ReasonTooLarge, "body is over "+strconv.Itoa(limit)+" bytes", 0)
}

func (e *Entry) readHeaders(r *request) *sandbarrow.Refusal {
	bad := func(detail string) *sandbarrow.Refusal {
		return sandbarrow.NotRun(sandbarrow.ReasonBadRequest, detail, 0)
	}
	r.deadline = r.started.Add(time.Duration(e.settings.Entry.DefaultDeadline))
	r.idempotencyKey = string(r.ctx.Request.Header.Peek(headerIdempotencyKey))
	r.atMostOnce = r.idempotencyKey != ""
	for name, value := range r.ctx.Request.Header.All() {
		switch {
		case strings.EqualFold(string(name), headerDeadline):
			ms, err := strconv.ParseInt(string(value), 10, 64)
			if err != nil || ms <= 0 {
				return bad(headerDeadline + ": want a positive number of milliseconds")
			}
			r.deadline = r.started.Add(min(maxDeadline, time.Duration(min(ms, maxDeadline.Milliseconds()))*time.Millisecond))
		case strings.EqualFold(string(name), headerOnce):
			if string(value) != "true" && string(value) != "false" {
				return bad(headerOnce + ": want true or false")
			}
			r.atMostOnce = r.atMostOnce || string(value) == "true"
		case len(name) >= len(headerPrefix) && strings.EqualFold(string(name[:len(headerPrefix)]), headerPrefix):
			return bad("unknown header " + string(name))
		}
	}
	return nil
}

// onceID returns the ID under which an at-most-once request is claimed. With an idempotency key,
// a retry by the caller has the same ID. Without one, each request has an ID of its own.
func (r *request) onceID() sandbarrow.RequestID {
	if r.idempotencyKey == "" {
		return r.id
	}
	return sandbarrow.RequestID(string(r.caller.ID) + "/" + r.idempotencyKey)
}

func (e *Entry) serveModels(r *request) {
	type model struct {
		ID     string `json:"id"`
		Object string `json:"object"`
		Parent string `json:"parent"`
	}
	models := make([]model, 0, len(r.view.Document.Adapters))
	for _, a := range r.view.Document.Adapters {
		models = append(models, model{ID: string(a.ID), Object: "model", Parent: string(a.BaseModel)})
	}
	body, _ := json.Marshal(map[string]any{"object": "list", "data": models}) // strings always marshal
	r.ctx.SetContentType("application/json")
	r.ctx.SetBody(body)
}

// callerErrors are the reasons that are caused by the caller.
var callerErrors = []sandbarrow.Reason{
	sandbarrow.ReasonBadRequest,
	sandbarrow.ReasonNotFound,
	sandbarrow.ReasonRateLimit,
	sandbarrow.ReasonTooLarge,
	sandbarrow.ReasonUnknownModel,
}

// refuse ends a request with a problem response.
func (e *Entry) refuse(r *request, refusal *sandbarrow.Refusal) {
	if refusal.RetryAfter > 0 && refusal.Reason != sandbarrow.ReasonCrashesUpstreams { // its expiry time is exact
		refusal.RetryAfter = clampRetryAfter(refusal.RetryAfter)
	}
	writeProblem(r.ctx, r.id, refusal)
	e.recordResult(r, refusal)
}

// recordResult records the result of a request in the log, the metrics and the error budget.
// refusal is nil for a complete response.
func (e *Entry) recordResult(r *request, refusal *sandbarrow.Refusal) {
	class, outcome, reason := sandbarrow.CallerClass(""), sandbarrow.OutcomeComplete, sandbarrow.Reason("")
	if r.caller != nil {
		class = r.caller.Class
	}
	if refusal != nil {
		outcome, reason = refusal.Outcome, refusal.Reason
	}
	e.logResult(r, class, refusal)
	e.metrics.requests.WithLabelValues(string(class), string(outcome), string(reason)).Inc()
	// An error of the caller is not a failure of the service.
	callerError := slices.Contains(callerErrors, reason)
	if r.caller != nil && !callerError {
		e.tracker.Record(time.Now(), class, burn.ObjectiveResponse, refusal == nil)
	}
}

// logResult logs the result of a request: refusals at info, complete responses at debug.
func (e *Entry) logResult(r *request, class sandbarrow.CallerClass, refusal *sandbarrow.Refusal) {
	if refusal == nil && !e.logger.Enabled(e.work, slog.LevelDebug) {
		return
	}
	l := e.logger.With("request", string(r.id), "class", string(class), "adapter", r.adapter.String())
	if r.view != nil {
		l = l.With("revision", uint64(r.view.Revision))
	}
	if refusal == nil {
		l.Debug("request completed")
		return
	}
	l.Info("request refused", "outcome", string(refusal.Outcome), "reason", string(refusal.Reason), "detail", refusal.Detail)
}

// recordFirstPart records the time to the first part of a response.
func (e *Entry) recordFirstPart(r *request) {
	elapsed := boottime.Since(r.started)
	e.metrics.firstPart.Observe(elapsed.Seconds())
	if target := time.Duration(r.class.Objective.FirstToken); target > 0 {
		e.tracker.Record(time.Now(), r.caller.Class, burn.ObjectiveFirstToken, elapsed <= target)
	}
}

func newRequestID() sandbarrow.RequestID {
	return sandbarrow.RequestID(uuid.NewString())
}
