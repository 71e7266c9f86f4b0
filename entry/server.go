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

// The headers that callers and entries exchange.
const (
	headerDeadline   = "Sandbarrow-Deadline-Ms"
	headerIdempotent = "Idempotency-Key"
	headerModel      = "Sandbarrow-Model"
	headerOnce       = "Sandbarrow-Once"
	headerPrefix     = "Sandbarrow-"
	headerRequestID  = "X-Request-Id"
	headerRevision   = "Sandbarrow-Revision"
)

const (
	// maxDeadline bounds the deadline that a caller may state.
	maxDeadline = 10 * time.Minute
	// maxDrainBytes bounds what is read of a body that is too large.
	maxDrainBytes = 64 << 20
)

// request is one HTTP request with what is known of its caller.
type request struct {
	adapter  sandbarrow.ModelRef // zero until it is resolved
	body     []byte
	caller   *config.Caller
	class    *config.Class
	ctx      *fasthttp.RequestCtx
	deadline time.Time
	id       sandbarrow.RequestID
	marked   bool
	onceKey  string
	started  time.Time
	view     *config.View
}

func (e *Entry) server() *fasthttp.Server {
	return &fasthttp.Server{
		CloseOnShutdown:       true,
		ErrorHandler:          e.serveBroken,
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

// serveBroken answers what is no request: malformed or too slow.
func (e *Entry) serveBroken(ctx *fasthttp.RequestCtx, err error) {
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
	r := &request{ctx: ctx, id: newRequestID(), started: boottime.Now(), view: e.follower.View()}
	if refusal := e.identify(r); refusal != nil {
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

// identify reads the caller and the headers, and holds the caller to its limit.
func (e *Entry) identify(r *request) *sandbarrow.Refusal {
	if r.view == nil {
		return sandbarrow.NotRun(sandbarrow.ReasonConfiguration, "no configuration yet", noUpstreamPause)
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

// readBody reads the body. One that is too large is drained, so that its
// caller reads the answer and not a reset connection.
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
	_, _ = io.CopyN(io.Discard, stream, maxDrainBytes) // the rest is of no use
	r.ctx.SetConnectionClose()
	return sandbarrow.NotRun(sandbarrow.ReasonTooLarge, "body is over "+strconv.Itoa(limit)+" bytes", 0)
}

func (e *Entry) readHeaders(r *request) *sandbarrow.Refusal {
	bad := func(detail string) *sandbarrow.Refusal {
		return sandbarrow.NotRun(sandbarrow.ReasonBadRequest, detail, 0)
	}
	r.deadline = r.started.Add(time.Duration(e.settings.Entry.DefaultDeadline))
	r.onceKey = string(r.ctx.Request.Header.Peek(headerIdempotent))
	r.marked = r.onceKey != ""
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
			r.marked = r.marked || string(value) == "true"
		case len(name) >= len(headerPrefix) && strings.EqualFold(string(name[:len(headerPrefix)]), headerPrefix):
			return bad("unknown header " + string(name))
		}
	}
	return nil
}

// onceID is the identity under which a once-only request is claimed. A caller
// that gives a key may repeat the request; without one each request is its own.
func (r *request) onceID() sandbarrow.RequestID {
	if r.onceKey == "" {
		return r.id
	}
	return sandbarrow.RequestID(string(r.caller.ID) + "/" + r.onceKey)
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
	body, _ := json.Marshal(map[string]any{"object": "list", "data": models}) // plain texts always marshal
	r.ctx.SetContentType("application/json")
	r.ctx.SetBody(body)
}

// callerFaults are the reasons that lie with the caller.
var callerFaults = []sandbarrow.Reason{
	sandbarrow.ReasonBadRequest,
	sandbarrow.ReasonNotFound,
	sandbarrow.ReasonRateLimit,
	sandbarrow.ReasonTooLarge,
	sandbarrow.ReasonUnknownModel,
}

// refuse ends a request with a problem body.
func (e *Entry) refuse(r *request, refusal *sandbarrow.Refusal) {
	if refusal.RetryAfter > 0 && refusal.Reason != sandbarrow.ReasonCrashesUpstreams { // known to the second
		refusal.RetryAfter = clampRetry(refusal.RetryAfter)
	}
	writeProblem(r.ctx, r.id, refusal)
	e.count(r, refusal)
}

// count records how a request ended; refusal is nil for a whole answer.
func (e *Entry) count(r *request, refusal *sandbarrow.Refusal) {
	class, outcome, reason := sandbarrow.CallerClass(""), sandbarrow.OutcomeComplete, sandbarrow.Reason("")
	if r.caller != nil {
		class = r.caller.Class
	}
	if refusal != nil {
		outcome, reason = refusal.Outcome, refusal.Reason
	}
	e.logEnd(r, class, refusal)
	e.metrics.requests.WithLabelValues(string(class), string(outcome), string(reason)).Inc()
	// A fault of the caller is no failure of the service.
	fault := slices.Contains(callerFaults, reason)
	if r.caller != nil && !fault {
		e.tracker.Record(time.Now(), class, burn.ObjectiveAnswer, refusal == nil)
	}
}

// logEnd writes how a request ended: refusals at info, whole answers at debug.
func (e *Entry) logEnd(r *request, class sandbarrow.CallerClass, refusal *sandbarrow.Refusal) {
	if refusal == nil && !e.logger.Enabled(e.work, slog.LevelDebug) {
		return
	}
	l := e.logger.With("request", string(r.id), "class", string(class), "adapter", r.adapter.String())
	if r.view != nil {
		l = l.With("revision", uint64(r.view.Revision))
	}
	if refusal == nil {
		l.Debug("request answered")
		return
	}
	l.Info("request refused", "outcome", string(refusal.Outcome), "reason", string(refusal.Reason), "detail", refusal.Detail)
}

// countFirst records the time of the first part of an answer.
func (e *Entry) countFirst(r *request) {
	took := boottime.Since(r.started)
	e.metrics.added.Observe(took.Seconds())
	if aim := time.Duration(r.class.Objective.FirstToken); aim > 0 {
		e.tracker.Record(time.Now(), r.caller.Class, burn.ObjectiveFirstToken, took <= aim)
	}
}

func newRequestID() sandbarrow.RequestID {
	return sandbarrow.RequestID(uuid.NewString())
}
