package gateway

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"sandbarrow.example/sandbarrow/internal/boottime"
	"sandbarrow.example/sandbarrow/internal/pause"
)

// The times of a planned stop, counted from the signal. Together they fit into the grace period of
// the settings (8 s by default).
const (
	// DefaultAcceptAfterStop is how long a stopping gateway accepts new connections. By then the
	// load balancer has seen that the gateway is not ready: its health check takes up to 2.5 s.
	DefaultAcceptAfterStop = 2600 * time.Millisecond
	// stopMargin ends the requests that still run before the platform kills the process.
	stopMargin = 500 * time.Millisecond
	// lastResponsesTime is the part of stopMargin in which callers get the responses of requests that
	// were ended.
	lastResponsesTime = stopMargin / 2
	// lastLinesTime is how long the handlers of requests that were cut have to log them.
	lastLinesTime = 100 * time.Millisecond
)

// plannedStop is a planned stop in progress. Its times are of package boottime.
type plannedStop struct {
	began time.Time
	// acceptsUntil is when the gateway stops accepting connections.
	acceptsUntil time.Time
	// callsEnd is when requests that still run are ended.
	callsEnd time.Time
	// cut, failed, finished, left and refused count the requests that have ended since it began.
	cut, failed, finished, left, refused atomic.Int64
}

// count counts a request.
func (s *plannedStop) count(o stopOutcome) {
	switch o {
	case stopCut:
		s.cut.Add(1)
	case stopFailed:
		s.failed.Add(1)
	case stopFinished:
		s.finished.Add(1)
	case stopLeft:
		s.left.Add(1)
	case stopRefused:
		s.refused.Add(1)
	}
}

// ended reports whether requests that still ran have been ended.
func (s *plannedStop) ended() bool {
	return boottime.Until(s.callsEnd) <= 0
}

// newPlannedStop returns a stop that begins now. The gateway accepts connections for no longer than it
// may run.
func newPlannedStop(c *Config) *plannedStop {
	now := boottime.Now()
	length := max(0, c.StopGrace-stopMargin)
	return &plannedStop{began: now, acceptsUntil: now.Add(min(c.AcceptAfterStop, length)), callsEnd: now.Add(length)}
}

// stop waits for ctx, then stops without cutting off requests. First the load balancer sees that
// this gateway is not ready. Then the gateway accepts no more connections and waits for running
// requests to finish. At the end those that still run are ended with a response, as far as it has not
// begun.
func (g *Gateway) stop(ctx context.Context, server *http.Server) error {
	<-ctx.Done()
	began := time.Now()
	s := newPlannedStop(&g.config)
	g.stopping.Store(s)
	g.logger.Info("gateway stops", "grace", g.config.StopGrace.String(), "connections", g.callers.open.Load(), "requests", g.callers.inProgress())
	time.Sleep(s.acceptsUntil.Sub(s.began))
	g.callers.drain(boottime.Until(s.callsEnd))
	g.endRunning()
	g.callers.drain(lastResponsesTime)
	_ = server.Close() // its listener is closed already
	g.callers.awaitHandlers(lastLinesTime)
	g.logger.Info("gateway stopped", "took", time.Since(began).String(), "finished", s.finished.Load(), "refused", s.refused.Load(), "cut", s.cut.Load(), "left", s.left.Load(), "failed", s.failed.Load())
	return nil
}

// endRunning ends the requests that still run at the end of a planned stop.
func (g *Gateway) endRunning() {
	if running := g.callers.inProgress(); running > 0 {
		g.logger.Warn("requests cut at the end of the grace", "connections", g.callers.open.Load(), "requests", running)
	}
	g.callers.endRunning()
}

// awaitHandlers waits until no request is in progress, for some time at most.
func (c *callers) awaitHandlers(atMost time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), atMost)
	defer cancel()
	for ctx.Err() == nil && c.inProgress() > 0 {
		pause.For(ctx, time.Millisecond)
	}
}
