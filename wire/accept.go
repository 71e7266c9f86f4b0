package wire

import (
	"context"
	"log/slog"
	"net"
	"sync/atomic"
	"time"

	"sandbarrow.example/sandbarrow/internal/pause"
)

const (
	// acceptRetryDelay is the pause after a failed accept.
	acceptRetryDelay = 50 * time.Millisecond
	// maxConnections bounds the connections of a listener, since others than this system's processes may
	// open them. It leaves room for two of each gateway in a fleet of a thousand.
	maxConnections = 2048
)

// Accept runs serve for each connection of a listener, in its own goroutine, until ctx ends. Then it
// closes the listener. serve returns once its connection has ended. A connection beyond maxConnections
// is closed. An accept that fails, as where no descriptor is left, is repeated.
func Accept(ctx context.Context, listener net.Listener, logger *slog.Logger, serve func(context.Context, net.Conn)) error {
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	var open atomic.Int64
	for {
		conn, err := listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			logger.Warn("could not accept connection", "listener", listener.Addr().String(), "error", err.Error())
			pause.For(ctx, acceptRetryDelay)
			continue
		}
		if open.Add(1) > maxConnections {
			logger.Warn("connection refused", "listener", listener.Addr().String(), "peer", conn.RemoteAddr().String(), "connections", maxConnections)
			_ = conn.Close()
			open.Add(-1)
			continue
		}
		go func() {
			defer open.Add(-1)
			serve(ctx, conn)
		}()
	}
}
