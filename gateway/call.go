package gateway

import (
	"context"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/estate"
	"sandbarrow.example/sandbarrow/forward"
	"sandbarrow.example/sandbarrow/internal/pause"
	"sandbarrow.example/sandbarrow/route"
)

const (
	// maxAnswerBytes bounds an answer that is passed on as a whole.
	maxAnswerBytes = 16 << 20
	// defaultTimeout bounds requests where neither caller nor route does.
	defaultTimeout = 60 * time.Second
	// viewWait bounds the wait for the first configuration.
	viewWait = 250 * time.Millisecond
	// maxLogged bounds a caller's text in a log line.
	maxLogged = 80
	// leastSend is the least time for which a request is still sent.
	leastSend = 20 * time.Millisecond
	// retryAfter is when a refused caller may come back, on average.
	retryAfter = 250 * time.Millisecond
	// refuseAfterStop is when a stopping gateway takes no more streams, which
	// might not end before it does.
	refuseAfterStop = 2800 * time.Millisecond
)

// reason says why a call ended without an upstream's answer.
type reason string

// The reasons of a call's end.
const (
	reasonBadRequest reason = "bad-request"
	reasonBroken     reason = "broken"
	reasonBudget     reason = "retry-budget"
	reasonDeadline   reason = "deadline"
	reasonLeft       reason = "caller-left"
	reasonNoConfig   reason = "no-configuration"
	reasonNoRoute    reason = "no-route"
	reasonOverload   reason = "overload"
	reasonNoUpstream reason = "no-upstream"
	reasonRefused    reason = "upstream-refused"
	reasonSlots      reason = "no-slot"
	reasonStopping   reason = "stopping"
	reasonTooLarge   reason = "too-large"
)

// call is one request of a caller on its way.
type call struct {
	began   time.Time
	body    []byte
	gateway *Gateway
	header  http.Header
	id      string
	request *http.Request
	route   *route.Route
	service *route.Service
	view    *estate.View
	writer  http.ResponseWriter

	// callerEnds is when the caller stops waiting, ends when the call does.
	callerEnds, ends time.Time

	// affinity is what upstreams are ranked by.
	affinity string
	key      sandbarrow.AdapterKey
	tokens   int
	// awaiting is the part of tokens that an engine has yet to read.
	awaiting int
	version  sandbarrow.AdapterVersion

	// sent counts upstreams that got the request, ran those that may have run it.
	sent, ran int
	// chosen is the engine that was asked last, as it was believed to be then.
	chosen *candidate
	// last is the upstream that got the request last.
	last sandbarrow.InstanceID
	// demand is how many requests for the adapter there were lately, at all
	// gateways as far as this one can tell.
	demand float64
	// acquired is the time spent to obtain adapters.
	acquired time.Duration
	// failure is an engine's own failure, passed on where no other engine answers.
	failure *wholeAnswer
	// committed says that the head of an answer has gone to the caller.
	committed bool
	events    int
	// first is when the first event came, counted from the start.
	first     time.Duration
	lastEvent string
}

// ServeHTTP serves one request of a caller.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := &call{began: time.Now(), gateway: g, request: r, writer: w, id: r.Header.Get(g.config.Headers.RequestID)}
	w.Header()["Date"] = nil
	if _, stopping := g.stopped(); stopping || g.engines.isolated() {
		w.Header().Set("Connection", "close")
	}
	if c.view = g.awaitView(r.Context()); c.view == nil {
		c.refuse(http.StatusServiceUnavailable, reasonNoConfig)
		return
	}
	c.route = c.view.Table.Match(r.Host, r.URL.EscapedPath())
	if c.route == nil {
		c.refuse(http.StatusNotFound, reasonNoRoute)
		return
	}
	c.service = c.view.Table.Services[c.route.Service(rand.Float64())]
	if !c.prepare() {
		return
	}
	if after, stopping := g.stopped(); stopping && after > refuseAfterStop && c.route.Kind == route.KindStream {
		c.refuse(http.StatusServiceUnavailable, reasonStopping)
		return
	}
	g.budget(c.service.ID).Request()
	ctx, cancel := context.WithDeadline(r.Context(), c.ends)
	defer cancel()
	if c.service.Engine != nil {
		c.serveEngine(ctx)
		return
	}
	c.servePlain(ctx)
}

// awaitView returns the estate; right after a start it waits a moment for it.
func (g *Gateway) awaitView(ctx context.Context) *estate.View {
	began := time.Now()
	for {
		view := g.estate.View()
		if view != nil && g.directory.View() != nil {
			return view
		}
		if time.Since(began) > viewWait || ctx.Err() != nil {
			return nil
		}
		pause.For(ctx, lookPause)
	}
}

// prepare reads the request and checks it. On a fault it answers and returns false.
func (c *call) prepare() bool {
	limits := c.view.Table.Limits
	names := &c.gateway.config.Headers
	body, err := readBody(c.request, c.writer, limits.MaxBodyBytes)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		c.refuse(http.StatusRequestEntityTooLarge, reasonTooLarge)
		return false
	case err != nil:
		c.refuse(http.StatusBadRequest, reasonBadRequest)
		return false
	}
	if limits.MaxHeaderBytes > 0 && headerBytes(c.request) > limits.MaxHeaderBytes {
		c.refuse(http.StatusRequestHeaderFieldsTooLarge, reasonTooLarge)
		return false
	}
	if c.id == "" {
		c.refuse(http.StatusBadRequest, reasonBadRequest)
		return false
	}
	c.body = body
	timeout := c.route.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	c.ends = c.began.Add(timeout)
	c.callerEnds = c.ends
	if text := c.request.Header.Get(names.Deadline); text != "" {
		ms, err := strconv.ParseFloat(text, 64)
		if err != nil || ms <= 0 || ms > float64(24*time.Hour.Milliseconds()) {
			c.refuse(http.StatusBadRequest, reasonBadRequest)
			return false
		}
		c.callerEnds = c.began.Add(time.Duration(ms * float64(time.Millisecond)))
	}
	if c.callerEnds.Before(c.ends) {
		c.ends = c.callerEnds
	}
	c.header = passedOn(c.request.Header)
	c.readModel(names)
	return true
}

// readModel reads what an engine must hold for the request.
func (c *call) readModel(names *sandbarrow.HeaderNames) {
	model, adapter, _ := strings.Cut(c.request.Header.Get(names.Model), "/")
	c.key = sandbarrow.AdapterKey{Adapter: sandbarrow.AdapterID(adapter), Model: sandbarrow.BaseModelID(model)}
	c.version = c.view.Version(c.key)
	prompt, _, _ := strings.Cut(c.request.Header.Get(names.Tokens), ",")
	c.tokens, _ = strconv.Atoi(strings.TrimSpace(prompt)) // 0 where it is not told
	c.affinity = model + "/" + adapter
	if adapter == "" {
		first, _, _ := strings.Cut(c.request.Header.Get(names.Prompt), ",")
		c.affinity += "/" + first
	}
	c.lastEvent = c.request.Header.Get(names.LastEvent)
}

// readBody reads the whole body of at most limit bytes.
func readBody(r *http.Request, w http.ResponseWriter, limit int) ([]byte, error) {
	if r.Body == nil || r.Body == http.NoBody {
		return nil, nil
	}
	if limit <= 0 {
		limit = maxAnswerBytes
	}
	return io.ReadAll(http.MaxBytesReader(w, r.Body, int64(limit)))
}

func headerBytes(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + len(": \r\n")
		}
	}
	return n
}

// connectionHeaders concern one connection only.
var connectionHeaders = []string{
	"Connection", "Expect", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te",
	"Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Host",
}

// passedOn copies the headers that go on to the other side.
func passedOn(h http.Header) http.Header {
	out := h.Clone()
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range connectionHeaders {
		out.Del(name)
	}
	return out
}

// upstreamRequest makes the request for one upstream.
func (c *call) upstreamRequest(in *sandbarrow.Instance, version sandbarrow.AdapterVersion) *forward.Request {
	names := &c.gateway.config.Headers
	h := c.header.Clone()
	h.Set(names.Deadline, strconv.FormatInt(max(1, time.Until(c.callerEnds).Milliseconds()), 10))
	h.Set(names.ExpectInstance, string(in.ID))
	if c.service.Engine != nil {
		h.Set(names.Priority, strconv.Itoa(c.enginePriority()))
	}
	if version > 0 {
		h.Set(names.ExpectVersion, strconv.FormatUint(uint64(version), 10))
	}
	if c.lastEvent != "" {
		h.Set(names.LastEvent, c.lastEvent)
	}
	return &forward.Request{
		Body: c.body, Header: h, Host: c.request.Host, ID: c.id, IDHeader: names.RequestID, Method: c.request.Method,
		Target: c.request.RequestURI,
	}
}

// mayRepeat reports whether the request may be sent to one more upstream, and
// takes it from the retry budget.
func (c *call) mayRepeat() bool {
	switch {
	case c.sent == 0:
		return true
	case c.ran > 0 && (!c.route.Repeatable() || c.ran >= c.route.MaxAttempts):
		return false
	case c.sent > c.route.MaxAttempts:
		return false
	}
	return c.gateway.budget(c.service.ID).Retry()
}

// notRun reports whether an answer promises that the request did not run.
func (c *call) notRun(a *forward.Answer) bool {
	return a.Status == http.StatusMisdirectedRequest || a.Header.Get(c.gateway.config.Headers.NotRun) != ""
}

// refuse ends the call with an answer of the gateway's own.
func (c *call) refuse(status int, why reason) {
	h := c.writer.Header()
	if status == http.StatusServiceUnavailable {
		h.Set("Retry-After", strconv.FormatFloat(jitter(retryAfter).Seconds(), 'f', 3, 64))
	}
	if c.id != "" {
		h.Set(c.gateway.config.Headers.RequestID, c.id)
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	c.writer.WriteHeader(status)
	_, _ = io.WriteString(c.writer, string(why)+"\n") // a caller that left needs no answer
	c.finish(status, why)
}

// giveUp ends a call that has no answer: as not run where that is certain.
func (c *call) giveUp(ctx context.Context, why reason) {
	late := !time.Now().Before(c.ends.Add(-leastSend))
	switch {
	case c.request.Context().Err() != nil:
		c.finish(0, reasonLeft)
		panic(http.ErrAbortHandler) // nobody reads an answer
	case c.ran == 0:
		c.refuse(http.StatusServiceUnavailable, why)
	case late || ctx.Err() != nil:
		c.refuse(http.StatusGatewayTimeout, reasonDeadline)
	default:
		c.refuse(http.StatusBadGateway, why)
	}
}

// logAttempt writes a line for an attempt that failed, with what was believed
// of the upstream when it was chosen.
func (c *call) logAttempt(id sandbarrow.InstanceID, result, cause string, e *candidate) {
	attrs := []slog.Attr{
		slog.String("request", c.id), slog.String("upstream", string(id)), slog.String("result", result), slog.String("cause", cause),
		slog.Int64("after_ms", time.Since(c.began).Milliseconds()), slog.Int("sent", c.sent), slog.Int("events", c.events),
	}
	attrs = append(attrs, e.attributes()...)
	c.gateway.logger.LogAttrs(context.Background(), slog.LevelInfo, "attempt", attrs...)
}

// finish counts the call and writes its line.
func (c *call) finish(status int, why reason) {
	took := time.Since(c.began)
	c.gateway.metrics.finished(c, status, why, took)
	level := slog.LevelInfo
	if why != "" {
		level = slog.LevelWarn
	}
	c.gateway.logger.LogAttrs(context.Background(), level, "request", c.attributes(status, why, took)...)
}

// attributes describe the end of the call and what decided it.
func (c *call) attributes(status int, why reason, took time.Duration) []slog.Attr {
	attrs := []slog.Attr{
		slog.String("request", c.id), slog.Int("status", status), slog.Int64("took_ms", took.Milliseconds()),
		slog.Int("sent", c.sent), slog.Int("ran", c.ran), slog.String("upstream", string(c.last)),
	}
	if why != "" {
		attrs = append(attrs, slog.String("reason", string(why)))
	}
	if c.view != nil {
		attrs = append(attrs, slog.Uint64("config", c.view.Table.Version), slog.Int64("config_age_ms", time.Since(c.view.At).Milliseconds()))
	}
	if c.route != nil {
		attrs = append(attrs, slog.String("route", c.route.Name))
	} else {
		attrs = append(attrs, slog.String("host", clip(c.request.Host)), slog.String("path", clip(c.request.URL.Path)))
	}
	if c.key.Adapter != "" {
		attrs = append(attrs, slog.String("adapter", string(c.key.Adapter)), slog.Uint64("version", uint64(c.version)),
			slog.Int("tokens", c.tokens), slog.Int64("acquire_ms", c.acquired.Milliseconds()),
			slog.Int64("first_ms", c.first.Milliseconds()), slog.Int("events", c.events))
		attrs = append(attrs, c.chosen.attributes()...)
	}
	return attrs
}

// attributes tell what was believed of an engine when it was chosen.
func (e *candidate) attributes() []slog.Attr {
	if e == nil {
		return nil
	}
	return []slog.Attr{
		slog.Bool("linked", e.linked), slog.Bool("held", e.held), slog.Int("free", e.status.Free), slog.Int("running", e.status.Running),
		slog.Int("waiting_tokens", e.waiting), slog.Int64("cost_ms", e.cost.Milliseconds()), slog.Int64("status_age_ms", e.link.age().Milliseconds()),
	}
}

// clip bounds a caller's text in a log line.
func clip(text string) string {
	return text[:min(len(text), maxLogged)]
}

// copyHead gives an upstream's head to the caller.
func (c *call) copyHead(a *forward.Answer) {
	h := c.writer.Header()
	for name, values := range passedOn(a.Header) {
		h[name] = values
	}
}
