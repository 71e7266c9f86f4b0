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
	"sandbarrow.example/sandbarrow/route"
)

// call is one request of a caller on its way: what was asked, what came of the
// attempts so far, and how far the answer is. One goroutine serves a call; the
// goroutine that watches a stream's progress only reads callerRequest.
type call struct {
	gateway *Gateway
	writer  http.ResponseWriter
	callerRequest
	attempts
	// crashVerdict is what was known of upstreams that ended under the request, when that was
	// asked last.
	crashVerdict crash.Decision
	// blocked is what was seen of upstreams that accept no request now.
	blocked blockedUpstreams
	quota   quotaAsk
	streamState
}

// attempts is what came of a call's attempts so far. The rules of retryrule.go
// decide by it, the log lines show it.
type attempts struct {
	// sent counts the upstreams that got the request, ran those that may have run it.
	sent, ran int
	// chosen is the engine that was asked last, as it was seen when it was chosen.
	chosen *candidate
	// limit is what the last upstream that got the request takes of requests a second, where
	// it names a limit.
	limit float64
	// last is the upstream that got the request last.
	last sandbarrow.InstanceID
	// notice is what that upstream had announced by then.
	notice availability.Notice
	// acquired is the time spent to pin adapters.
	acquired time.Duration
	// failure is an engine's own failure, passed on where no other engine answers.
	failure *wholeAnswer
	// cause is why the last attempt at an engine did not answer, for its log line.
	cause string
}

// streamState is how far a streamed answer is.
type streamState struct {
	// committed says that the head of the answer has gone to the caller.
	committed bool
	// events counts the events that the caller has.
	events int
	// first is when the first event came, counted from the call's start.
	first time.Duration
	// lastEvent is the id of the last event that the caller has, lastPassed when it got it.
	lastEvent  string
	lastPassed time.Time
	// paused is the longest pause between two events.
	paused time.Duration
	// unread is the part of the prompt's tokens that counts as waiting at the engine.
	unread int
}

// ServeHTTP serves one request of a caller.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := &call{gateway: g, writer: w}
	c.begin(r)
	c.id = r.Header.Get(g.config.Headers.RequestID)
	w.Header()["Date"] = nil
	if _, stopping := g.stopped(); stopping || g.engines.isolated() {
		w.Header().Set("Connection", "close")
	}
	if !c.findRoute() || !c.authenticate() || !c.prepare() || !c.admit() || !c.admitContent() {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), c.left())
	defer cancel()
	if !c.takeQuota(ctx) {
		return
	}
	g.retryBudget(c.service.ID).Request()
	if c.service.Engine != nil {
		c.serveEngine(ctx)
		return
	}
	c.servePlain(ctx)
}

// findRoute finds the route and the service under the configuration in force.
// Where there is none it answers and returns false.
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

// admit refuses a stream that comes so late in a planned stop that it might not
// end before the process does.
func (c *call) admit() bool {
	after, stopping := c.gateway.stopped()
	if stopping && after > refuseAfterStop && c.route.Kind == route.KindStream {
		c.refuse(http.StatusServiceUnavailable, reasonStopping)
		return false
	}
	return true
}

// viewWait bounds the wait of a request for the gateway's first configuration and list of upstreams
// after a start.
const viewWait = 250 * time.Millisecond

// awaitView returns the operators' state; right after a start it waits for it, and until it
// is known to be the newest, for viewWait at most. It returns nil where there is none.
func (g *Gateway) awaitView(ctx context.Context) *estate.View {
	began := boottime.Now()
	for {
		view := g.estate.View()
		known := view != nil && g.directory.View() != nil
		if known && (g.trusts(began) || began.Sub(g.started) > startTime) {
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
