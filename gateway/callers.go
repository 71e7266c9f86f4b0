package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"sandbarrow.example/sandbarrow/httpserve"
	"sandbarrow.example/sandbarrow/internal/pause"
)

const (
	// roundTripInterval is the interval between two measurements of the round trip, and
	// limitedInterval the one while a limit on requests is in force.
	roundTripInterval = 200 * time.Millisecond
	limitedInterval   = 100 * time.Millisecond
	// drainInterval is the interval at which a gateway that stops closes idle connections.
	drainInterval = 20 * time.Millisecond
)

// The causes for which new connections are refused.
const (
	// causeCongested is that the gateway bears no more requests.
	causeCongested httpserve.PauseCause = "congested"
	// causeFull is that as many connections are open as may be, and none is idle.
	causeFull httpserve.PauseCause = "connections"
)

// resumeConnections is the share of the bound on connections below which new ones are accepted again.
const resumeConnections = 0.95

// callers accepts the connections of callers, or refuses new ones. It is safe for concurrent use.
type callers struct {
	// accepted is closed once the server accepts no more connections and has counted all.
	accepted  chan struct{}
	gateway   *Gateway
	closed    *prometheus.CounterVec
	idle      *httpserve.IdleCloser
	listener  *httpserve.PausableListener
	open      atomic.Int64
	pauses    *prometheus.CounterVec
	roundTrip *ownRoundTrip
	// running ends when a planned stop ends the requests that still run; endRunning ends it.
	running    context.Context
	endRunning context.CancelFunc

	mu sync.Mutex
	// calls is the number of requests in progress.
	calls int
	limit requestLimit
	// refusing is set while new connections are refused for congestion, full while they are because too
	// many are open.
	refusing, full bool
}

func newCallers(g *Gateway) *callers {
	c := &callers{
		accepted: make(chan struct{}), gateway: g, idle: httpserve.NewIdleCloser(g.idleBound), roundTrip: newOwnRoundTrip(g),
		pauses: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sandbarrow_gateway_listener_pauses_total", Help: "Pauses in which new connections of callers are refused, by cause.",
		}, []string{"cause"}),
		closed: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sandbarrow_gateway_closed_connections_total", Help: "Connections of callers that ended, by the side that closed them or the rule of the gateway by which it did.",
		}, []string{"cause"}),
	}
	c.running, c.endRunning = context.WithCancel(context.Background())
	g.config.Metrics.MustRegister(c.closed, c.pauses, prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "sandbarrow_gateway_caller_connections", Help: "Open connections of callers.",
	}, func() float64 { return float64(c.open.Load()) }))
	return c
}

// listen returns the listener for the server that serves the callers.
func (c *callers) listen(l net.Listener) net.Listener {
	c.listener = httpserve.NewPausableListener(l)
	return httpserve.NewConnListener(c.listener)
}

// trackState follows the state of a connection. It is the ConnState of the server.
func (c *callers) trackState(conn net.Conn, s http.ConnState) {
	switch s {
	case http.StateNew:
		c.open.Add(1)
	case http.StateClosed, http.StateHijacked:
		c.open.Add(-1)
		c.closed.WithLabelValues(string(conn.(*httpserve.Conn).Use().Closed)).Inc()
	}
	c.idle.TrackState(conn, s)
	c.applyBound()
}

// applyBound closes an idle connection if too many are open. If none is idle, it refuses new ones until
// some have ended.
func (c *callers) applyBound() {
	open, bound := c.open.Load(), c.connectionBound()
	if bound == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.full {
		bound = int64(resumeConnections * float64(bound))
	}
	switch {
	case open > bound:
		if !c.idle.CloseLongest() && !c.full {
			c.full = true
			c.pauseLocked(causeFull)
		}
	case c.full:
		c.full = !c.resumeLocked(causeFull)
	}
}

// connectionBound returns how many connections may be open; 0 if there is no bound.
func (c *callers) connectionBound() int64 {
	config := &c.gateway.config
	return int64(connectionBound(config.MaxDescriptors, config.MemoryMB, c.gateway.engines.linkCount()))
}

// run adapts the limit on requests until ctx ends.
func (c *callers) run(ctx context.Context) error {
	for ctx.Err() == nil {
		roundTrip := c.roundTrip.measure(ctx, c.inProgress(), congestedRoundTrip)
		interval := roundTripInterval
		c.mu.Lock()
		c.limit.observe(time.Now(), roundTrip, c.calls)
		if c.limit.limit > 0 {
			interval = limitedInterval
		}
		c.applyLocked()
		c.mu.Unlock()
		pause.For(ctx, interval)
	}
	return nil
}

// begin counts a request, and reports whether its connection is better closed after it.
func (c *callers) begin() (congested bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls++
	c.applyLocked()
	return c.refusing
}

// drain accepts no more connections, and closes those that are open as they become idle. It returns as
// soon as none is, or after some time at most.
//
// The server's own Shutdown would also close connections whose next request it has read.
func (c *callers) drain(atMost time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), atMost)
	defer cancel()
	_ = c.listener.Close() // fails only if the server has closed it
	select {
	case <-c.accepted:
	case <-ctx.Done():
	}
	for ctx.Err() == nil {
		c.idle.CloseAll(httpserve.ClosedForStop)
		if c.open.Load() == 0 {
			return
		}
		pause.For(ctx, drainInterval)
	}
}

// end ends a request.
func (c *callers) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls--
	c.applyLocked()
}

func (c *callers) inProgress() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.calls
}

// applyLocked pauses or resumes the listener as the limit requires. The caller holds mu.
func (c *callers) applyLocked() {
	refuses := c.limit.refuses(time.Now(), c.calls)
	if c.listener == nil || refuses == c.refusing {
		return
	}
	if !refuses {
		c.refusing = !c.resumeLocked(causeCongested)
		return
	}
	c.refusing = true
	c.pauseLocked(causeCongested)
}

// pauseLocked refuses new connections for a cause. The caller holds mu.
func (c *callers) pauseLocked(cause httpserve.PauseCause) {
	c.pauses.WithLabelValues(string(cause)).Inc()
	if err := c.listener.Pause(cause); err != nil {
		c.gateway.logger.Warn("listener not closed", "error", err.Error())
	}
	c.gateway.logger.Info("new connections refused", "cause", string(cause), "requests", c.calls, "limit", int(c.limit.limit), "connections", c.open.Load())
}

// resumeLocked accepts new connections again, unless there is another cause. It returns false if that
// failed and has to be tried again. The caller holds mu.
func (c *callers) resumeLocked(cause httpserve.PauseCause) bool {
	if err := c.listener.Resume(cause); err != nil {
		c.gateway.logger.Warn("listener not opened again", "error", err.Error())
		return false
	}
	return true
}
