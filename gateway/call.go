package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/availability"
	"sandbarrow.example/sandbarrow/crash"
	"sandbarrow.example/sandbarrow/estate"
	"sandbarrow.example/sandbarrow/internal/boottime"
	"sandbarrow.example/sandbarrow/internal/pause"
	"sandbarrow.example/sandbarrow/origin"
)

// call is one request of a caller: the request itself, the results of its attempts, and the state
// of its response. One goroutine serves a call. The goroutine that watches a stream's progress
// reads only callerRequest.
type call struct {
	gateway *Gateway
	writer  http.ResponseWriter
	callerRequest
	attempts
	// crashDecision is the result of the last check for upstreams that crashed under the request.
	crashDecision crash.Decision
	// blocked is what the call has found out about upstreams that currently accept no requests.
	blocked blockedUpstreams
	memory  heldMemory
	// part is what the call has found out about crashes under parts of its prompt.
	part partCheck
	// plain is what the call has found out about contended plain upstreams.
	plain permitRequests
	quota quotaRequest
	streamState
}

// attempts is the result of a call's attempts so far. The rules in retryrule.go use it, and the log
// lines show it.
type attempts struct {
	// sent counts the upstreams that the request was sent to, ran those that may have run it. sentAt
	// is when the request was last sent.
	sent, ran int
	sentAt    time.Time
	// chosen is the engine of the last attempt, in its state when it was chosen.
	chosen *candidate
	// namedLimit is the limit on requests per second that the last upstream names; 0 if it names
	// none.
	namedLimit float64
	// lastUpstream is the upstream that the request was last sent to, lastSoftware the software
	// version in its list entry.
	lastUpstream sandbarrow.InstanceID
	lastSoftware sandbarrow.SoftwareVersion
	// notice is the notice of that upstream in force when the request was sent.
	notice availability.Notice
	// acquired is the time spent on pinning adapters.
	acquired time.Duration
	// failure is an engine's error response. It is passed on if no other engine serves the request.
	failure *completeResponse
	// cause is why the last attempt at an engine failed, for its log line and metrics.
	cause error
	// phase is how far the upstream of the last attempt is; "" before the first.
	phase upstreamPhase
}

// streamState is the state of a streamed response.
type streamState struct {
	// committed is set right before the response header is sent to the caller.
	committed bool
	// origin is where the stream began; nil before its first event.
	origin *origin.Origin
	// resumes is the request that brought the first event, if another one did.
	resumes sandbarrow.RequestID
	// events counts the events that have been sent to the caller.
	events int
	// stalled is set if the caller read nothing for too long, writeFailed if a part of its response could
	// not be written.
	stalled, writeFailed bool
	// first is the time from the start of the call to its first event.
	first time.Duration
	// position is the last event that the caller has, lastPassed the time at which this call sent it.
	position   streamPosition
	lastPassed time.Time
	// longestPause is the longest pause between two events.
	longestPause time.Duration
	// uncachedTokens is the number of prompt tokens that count as waiting at the engine.
	uncachedTokens int
}

// ServeHTTP serves one request of a caller.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := &call{gateway: g, writer: w}
	c.begin(r)
	c.id = r.Header.Get(g.config.Headers.RequestID)
	w.Header()["Date"] = nil
	congested := g.callers.begin()
	defer g.callers.end()
	if g.stopping.Load() != nil || g.engines.isolated() || congested {
		w.Header().Set("Connection", "close")
	}
	defer c.releaseMemory()
	defer c.endTrial()
	defer c.recoverPanic()
	if !c.findRoute() || !c.authenticate() || !c.admitMemory() || !c.prepare() || !c.admit() || !c.admitContent() {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), c.timeLeft())
	defer cancel()
	defer context.AfterFunc(g.callers.running, cancel)()
	if !c.findOrigin(ctx) || !c.acquireQuota(ctx) {
		return
	}
	g.retryBudget(c.service.ID).Request()
	if c.service.Engine != nil {
		c.serveEngine(ctx)
		return
	}
	c.servePlain(ctx)
}

// findRoute finds the route and the service under the configuration in force. If there is none, it
// responds to the caller and returns false.
func (c *call) findRoute() bool {
	if c.view = c.gateway.awaitView(c.request.Context()); c.view == nil {
		c.refuse(http.StatusServiceUnavailable, reasonNoConfig)
		return false
	}
	c.route = c.view.Table.Match(c.request.Host, c.request.URL.EscapedPath())
	if c.route == nil {
		c.refuse(http.StatusNotFound, reasonNoRoute)
		return false
	}
	c.service = c.view.Table.Services[c.route.Service(rand.Float64())]
	return true
}

// admit refuses a request that can't be finished before a planned stop ends. It reports whether the
// request is admitted.
func (c *call) admit() bool {
	if c.fitsStop() {
		return true
	}
	c.refuse(http.StatusServiceUnavailable, reasonStopping)
	return false
}

// timeLeft returns the time until the deadline of the call, or until a planned stop ends it if that is
// earlier.
func (c *call) timeLeft() time.Duration {
	left := c.callerRequest.timeLeft()
	if s := c.gateway.stopping.Load(); s != nil {
		left = min(left, boottime.Until(s.callsEnd))
	}
	return left
}

// viewWait is the longest wait of a request for the gateway's first configuration and list of
// upstreams after a start.
const viewWait = 250 * time.Millisecond

// awaitView returns the operators' state. Right after a start it waits up to viewWait for the state
// to arrive and to be confirmed as the newest. It returns nil if there is none.
func (g *Gateway) awaitView(ctx context.Context) *estate.View {
	began := boottime.Now()
	for {
		view := g.estate.View()
		known := view != nil && g.directory.View() != nil
		if known && (g.trusts(began) || began.Sub(g.started) > startupTime) {
			return view
		}
		if boottime.Since(began) > viewWait || ctx.Err() != nil {
			if known {
				return view
			}
			return nil
		}
		pause.For(ctx, pollInterval)
	}
}
