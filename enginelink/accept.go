package enginelink

import (
	"context"
	"log/slog"
	"net"
	"time"

	"sandbarrow.example/sandbarrow/internal/pause"
)

// acceptPause follows a connection that could not be taken.
const acceptPause = 50 * time.Millisecond

// Accept gives each connection of a listener to serve, in a goroutine of its
// own, until ctx ends; then it closes the listener.
func Accept(ctx context.Context, listener net.Listener, logger *slog.Logger, serve func(context.Context, net.Conn)) error {
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	for {
		conn, err := listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			logger.Warn("connection not taken", "listener", listener.Addr().String(), "error", err.Error())
			pause.For(ctx, acceptPause)
			continue
		}
		go serve(ctx, conn)
	}
}
