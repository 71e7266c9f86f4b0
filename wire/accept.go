package enginelink

import (
	"context"
	"log/slog"
	"net"
	"time"

	"sandbarrow.example/sandbarrow/internal/pause"
)

// acceptRetryDelay is the pause after a failed accept.
const acceptRetryDelay = 50 * time.Millisecond

// Accept runs serve for each connection of a listener, in its own goroutine, until
// ctx ends. Then it closes the listener.
func Accept(ctx context.Context, listener net.Listener, logger *slog.Logger, serve func(context.Context, net.Conn)) error {
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
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
		go serve(ctx, conn)
	}
}
