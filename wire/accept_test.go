package wire

import (
	"context"
	"io"
	"log/slog"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sandbarrow.example/sandbarrow/internal/await"
)

// failingListener fails its first accepts, as where no descriptor is left.
type failingListener struct {
	net.Listener
	left atomic.Int32
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.left.Add(-1) >= 0 {
		return nil, syscall.EMFILE
	}
	return l.Listener.Accept()
}

func TestAcceptOutlivesFailuresAndBoundsConnections(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	listener := &failingListener{Listener: inner}
	listener.left.Store(2)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	var open atomic.Int32
	go func() {
		done <- Accept(ctx, listener, slog.New(slog.DiscardHandler), func(_ context.Context, c net.Conn) {
			open.Add(1)
			defer open.Add(-1)
			defer c.Close()
			_, _ = io.Copy(io.Discard, c)
		})
	}()
	var conns []net.Conn
	dial := func() net.Conn {
		c, err := net.Dial("tcp", inner.Addr().String())
		assert.NilError(t, err)
		conns = append(conns, c)
		return c
	}
	defer func() {
		for _, c := range conns {
			_ = c.Close()
		}
	}()
	for range maxConnections {
		dial()
	}
	await.Until(t, 10*time.Second, "all connections", func() bool { return open.Load() == maxConnections })
	_, err = dial().Read(make([]byte, 1))
	assert.Assert(t, err != nil, "a connection beyond the bound is open")
	assert.Equal(t, open.Load(), int32(maxConnections))
	assert.NilError(t, conns[0].Close())
	await.Until(t, 10*time.Second, "the end of one", func() bool { return open.Load() == maxConnections-1 })
	dial()
	await.Until(t, 10*time.Second, "another in its place", func() bool { return open.Load() == maxConnections })
	cancel()
	assert.NilError(t, <-done)
}
