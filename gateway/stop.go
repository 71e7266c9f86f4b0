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
	// refuseAfterStop is when a stopping gateway begins to refuse streams, as they might not finish
	// before it exits. This is right after it stops accepting connections.
	refuseAfterStop = 2800 * time.Millisecond
	// stopMargin ends a planned stop before the platform kills the process.
	stopMargin = 500 * time.Millisecond
	// lastLinesTime is how long the handlers of requests that were cut have to log them.
	lastLinesTime = 100 * time.Millisecond
)

// plannedStop is a planned stop in progress. Its times are of package boottime.
type plannedStop struct {
	began time.Time
	// end is when requests that still run are cut.
	end time.Time
	// broken, cut, finished, left and refused count the requests that have ended since it began.
	broken, cut, finished, left, refused atomic.Int64
}

// count counts a request.
func (s *plannedStop) count(o stopOutcome) {
	switch o {
	case stopBroken:
		s.broken.Add(1)
	case stopCut:
		s.cut.Add(1)
	case stopFinished:
		s.finished.Add(1)
	case stopLeft:
		s.left.Add(1)
	case stopRefused:
		s.refused.Add(1)
	}
}

// ended reports whether the end has come.
func (s *plannedStop) ended() bool {
	return boottime.Until(s.end) <= 0
}

// stop waits for ctx, then stops without cutting off requests. First the load balancer sees that
// this gateway is not ready. Then the gateway accepts no more connections and waits for running
// requests to finish.
func (g *Gateway) stop(ctx context.Context, server *http.Server) error {
	<-ctx.Done()
	began := time.Now()
	s := &plannedStop{began: boottime.Now()}
	s.end = s.began.Add(g.config.StopGrace - stopMargin)
	g.stopping.Store(s)
	g.logger.Info("gateway stops", "grace", g.config.StopGrace.String(), "connections", g.callers.open.Load(), "requests", g.callers.inProgress())
	time.Sleep(g.config.AcceptAfterStop)
	rest, cancel := context.WithDeadline(context.Background(), began.Add(g.config.StopGrace-stopMargin))
	defer cancel()
	open := g.callers.drain(rest)
	if open > 0 {
		g.logger.Warn("requests cut at the end of the grace", "connections", open, "requests", g.callers.inProgress())
	}
	_ = server.Close() // its listener is closed already
	g.callers.awaitHandlers(lastLinesTime)
	g.logger.Info("gateway stopped", "took", time.Since(began).String(), "finished", s.finished.Load(), "refused", s.refused.Load(), "cut", s.cut.Load(), "left", s.left.Load(), "broken", s.broken.Load())
	return nil
}

// stopped returns how long this gateway has been stopping.
func (g *Gateway) stopped() (time.Duration, bool) {
	s := g.stopping.Load()
	if s == nil {
		return 0, false
	}
	return boottime.Since(s.began), true
}

// awaitHandlers waits until no request is in progress, for some time at most.
func (c *callers) awaitHandlers(atMost time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), atMost)
	defer cancel()
	for ctx.Err() == nil && c.inProgress() > 0 {
		pause.For(ctx, time.Millisecond)
	}
}
