package gateway

import (
	"io"
	"log/slog"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/access"
	"sandbarrow.example/sandbarrow/crash"
	"sandbarrow.example/sandbarrow/estate"
	"sandbarrow.example/sandbarrow/forward"
	"sandbarrow.example/sandbarrow/internal/boottime"
	"sandbarrow.example/sandbarrow/promptcache"
	"sandbarrow.example/sandbarrow/route"
)

const (
	// maxResponseBytes bounds a response that is read completely before it is passed on. It also
	// bounds a request body if the operators set no limit. It is four times the largest body limit
	// seen (4 MiB).
	maxResponseBytes = 16 << 20
	// defaultTimeout bounds a request if neither its caller nor its route names a timeout. All
	// routes seen name one.
	defaultTimeout = 60 * time.Second
	// maxDeadline is the longest deadline that a caller may name; a longer one is malformed.
	maxDeadline = 24 * time.Hour
)

// callerRequest is the request of a caller. It is filled before the first attempt. After that only
// version changes, when operators name a newer one.
type callerRequest struct {
	began   time.Time
	body    []byte
	request *http.Request
	// header holds the headers that are sent on to the upstream.
	header http.Header
	id     string
	// digest is the fingerprint of the request; nil until it is first needed.
	digest  *crash.Fingerprint
	route   *route.Route
	service *route.Service
	// view is the configuration under which the request is served.
	view *estate.View
	// callerDeadline is when the caller stops waiting, deadline when the call ends.
	callerDeadline, deadline time.Time

	key            sandbarrow.AdapterKey
	promptPrefixes []promptcache.PromptPrefix
	// tokens is the length of the prompt; 0 if the caller does not name it.
	tokens int
	// version is the oldest version of the adapter that may run. It is 0 for a request for a base
	// model alone, which any version may serve.
	version sandbarrow.AdapterVersion
	// workspace is the workspace of the caller's key; nil if the route needs no key.
	workspace *access.Workspace
}

// begin records the request and its arrival time.
func (r *callerRequest) begin(q *http.Request) {
	r.began, r.request = boottime.Now(), q
}

// elapsed returns the time since the request arrived.
func (r *callerRequest) elapsed() time.Duration {
	return boottime.Since(r.began)
}

// timeLeft returns the time until the deadline of the call.
func (r *callerRequest) timeLeft() time.Duration {
	return boottime.Until(r.deadline)
}

// prepare reads and checks the request. If the request is invalid, it responds to the caller and
// returns false.
func (c *call) prepare() bool {
	deadlineValid := c.readDeadline()
	if !c.readBody() {
		return false
	}
	limits := c.view.Table.Limits
	if limits.MaxHeaderBytes > 0 && headerBytes(c.request) > limits.MaxHeaderBytes {
		c.refuse(http.StatusRequestHeaderFieldsTooLarge, reasonTooLarge)
		return false
	}
	if c.id == "" {
		c.refuse(http.StatusBadRequest, reasonBadRequest)
		return false
	}
	if !deadlineValid {
		c.refuse(http.StatusBadRequest, reasonBadRequest)
		return false
	}
	c.header = forward.UpstreamHeader(c.request.Header, c.gateway.config.Headers.Reserved)
	c.removeKeyHeaders()
	c.readModel()
	return true
}

// readBody reads the complete body within the operators' limit and the call's deadline. On an error it
// responds to the caller and returns false.
func (c *call) readBody() bool {
	if c.request.Body != nil && c.request.Body != http.NoBody {
		c.request.Body = &countedBody{ReadCloser: c.request.Body, memory: &c.memory}
		c.limitBodyTime(time.Now().Add(c.timeLeft()))
	}
	body, err := readBody(c.request, c.writer, c.view.Table.Limits.MaxBodyBytes)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, errNoMemory):
		c.refuseForMemory()
		return false
	case errors.As(err, &tooLarge):
		c.refuse(http.StatusRequestEntityTooLarge, reasonTooLarge)
		return false
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.refuse(http.StatusRequestTimeout, reasonBodyStalled)
		return false
	case err != nil:
		c.refuse(http.StatusBadRequest, reasonBadRequest)
		return false
	}
	c.limitBodyTime(time.Time{})
	c.body = body
	return true
}

// limitBodyTime makes reads of the body fail from a time on; the zero time lifts the limit. After an error
// it stays, since the server reads the rest of a body before it responds.
func (c *call) limitBodyTime(end time.Time) {
	if c.request.Body != nil && c.request.Body != http.NoBody {
		_ = http.NewResponseController(c.writer).SetReadDeadline(end) // fails only if the connection is closed
	}
}

// readDeadline sets the deadline of the call. This is the end of the route's timeout, or the
// caller's deadline if that is earlier. It returns false for a malformed deadline.
func (c *call) readDeadline() bool {
	timeout := c.route.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	c.deadline = c.began.Add(timeout)
	c.callerDeadline = c.deadline
	if text := c.request.Header.Get(c.gateway.config.Headers.Deadline); text != "" {
		ms, err := strconv.ParseFloat(text, 64)
		if err != nil || ms <= 0 || ms > float64(maxDeadline.Milliseconds()) {
			return false
		}
		c.callerDeadline = c.began.Add(time.Duration(ms * float64(time.Millisecond)))
	}
	if c.callerDeadline.Before(c.deadline) {
		c.deadline = c.callerDeadline
	}
	return true
}

// readModel reads what an engine must have loaded for the request.
func (c *call) readModel() {
	names := &c.gateway.config.Headers
	model, adapter, _ := strings.Cut(c.request.Header.Get(names.Model), "/")
	c.key = sandbarrow.AdapterKey{Adapter: sandbarrow.AdapterID(adapter), Model: sandbarrow.BaseModelID(model)}
	c.promptPrefixes = promptcache.PromptPrefixes(c.key, c.request.Header.Get(names.Prompt))
	c.version = c.minVersion()
	c.tokens = c.readTokens(c.request.Header.Get(names.Tokens))
	c.position.lastEvent = c.request.Header.Get(names.LastEvent)
}

// minVersion returns the oldest version of the adapter that may run now.
func (c *call) minVersion() sandbarrow.AdapterVersion {
	return c.gateway.estate.View().MinVersion(c.key)
}

// readTokens reads the prompt's length in tokens from a list that begins with it. A missing or
// malformed length counts as 0. It is only used to estimate the engine's work, and a request can be
// served without an estimate.
func (c *call) readTokens(list string) int {
	if list == "" {
		return 0
	}
	text, _, _ := strings.Cut(list, ",")
	tokens, err := strconv.Atoi(strings.TrimSpace(text))
	if err != nil {
		c.gateway.logger.Debug("malformed token count, counted as 0", slog.String("request", c.id), slog.String("error", err.Error()))
	}
	return tokens
}

// readBody reads the complete body of at most limit bytes; a limit of 0 means maxResponseBytes.
func readBody(r *http.Request, w http.ResponseWriter, limit int) ([]byte, error) {
	if r.Body == nil || r.Body == http.NoBody {
		return nil, nil
	}
	if limit <= 0 {
		limit = maxResponseBytes
	}
	return io.ReadAll(http.MaxBytesReader(w, r.Body, int64(limit)))
}

// headerBytes returns the size of a request's header on the wire.
func headerBytes(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + len(": \r\n")
		}
	}
	return n
}

// upstreamRequest builds the request for one upstream.
func (c *call) upstreamRequest(in *sandbarrow.Instance, version sandbarrow.AdapterVersion) *forward.Request {
	names := &c.gateway.config.Headers
	h := c.header.Clone()
	h.Set(names.Deadline, strconv.FormatInt(max(1, boottime.Until(c.callerDeadline).Milliseconds()), 10))
	h.Set(names.ExpectInstance, string(in.ID.Listed()))
	if c.service.Engine != nil {
		if c.chosen != nil && c.chosen.move.sourceAddress() != "" {
			h.Set(names.MoveFrom, c.chosen.move.sourceAddress())
		}
		h.Set(names.Priority, strconv.Itoa(enginePriority(c.priority(), c.committed)))
	}
	if version > 0 {
		h.Set(names.ExpectVersion, strconv.FormatUint(uint64(version), 10))
	}
	if c.position.lastEvent != "" {
		h.Set(names.LastEvent, c.position.lastEvent)
	}
	if c.workspace != nil {
		h.Set(names.Workspace, string(c.workspace.ID))
	}
	return &forward.Request{
		Body: c.body, Header: h, Host: c.request.Host, ID: c.id, IDHeader: names.RequestID, Method: c.request.Method,
		AllowSend: func() bool { return c.gateway.upstreams.accepts(in) && c.mayStillGoOnAt(in) },
		Target:    c.request.RequestURI,
	}
}
