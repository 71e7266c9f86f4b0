package gateway

import (
	"context"
	"net/http"
	"time"
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
)

// stop waits for ctx, then stops without cutting off requests. First the load balancer sees that
// this gateway is not ready. Then the gateway accepts no more connections and waits for running
// requests to finish.
func (g *Gateway) stop(ctx context.Context, server *http.Server) error {
	<-ctx.Done()
	began := time.Now()
	g.stopping.Store(&began)
	g.logger.Info("gateway stops", "grace", g.config.StopGrace.String())
	time.Sleep(g.config.AcceptAfterStop)
	rest, cancel := context.WithDeadline(context.Background(), began.Add(g.config.StopGrace-stopMargin))
	defer cancel()
	if open := g.callers.drain(rest); open > 0 {
		g.logger.Warn("requests cut at the end of the grace", "connections", open)
	}
	_ = server.Close() // its listener is closed already
	g.logger.Info("gateway stopped", "took", time.Since(began).String())
	return nil
}

// stopped returns how long this gateway has been stopping.
func (g *Gateway) stopped() (time.Duration, bool) {
	began := g.stopping.Load()
	if began == nil {
		return 0, false
	}
	return time.Since(*began), true
}
