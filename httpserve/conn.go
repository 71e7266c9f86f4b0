package httpserve

import (
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"

	"sandbarrow.example/sandbarrow/internal/socket"
)

// CloseCause is why a caller's connection was closed.
type CloseCause string

// The causes for which connections are closed. All but ClosedByCaller are this side's.
const (
	// ClosedByCaller is a connection that the caller closed or reset, or that the network broke.
	ClosedByCaller CloseCause = "caller"
	// ClosedByServer is a connection that the HTTP server closed by its own rules: after a response
	// that said so, after an aborted one, or as a request was malformed or too slow.
	ClosedByServer CloseCause = "server"
	// ClosedIdle is a connection that was idle for longer than the operators allow.
	ClosedIdle CloseCause = "idle"
	// ClosedForRoom is an idle connection that made room for new ones.
	ClosedForRoom CloseCause = "room"
	// ClosedForStop is an idle connection of a process that stops.
	ClosedForStop CloseCause = "stop"
)

// headerTimeout is the time after which a request whose header is still incomplete no longer keeps
// its connection open.
const headerTimeout = 5 * time.Second

// maxDiscardedBytes bounds the bytes of further requests that are discarded as a connection is closed.
const maxDiscardedBytes = 256 << 10

// Conn is a connection of a caller that knows whether a request may be under way on it. It also
// records its use, so that logs and metrics tell which side closed it and after what. It is safe for
// concurrent use.
type Conn struct {
	net.Conn
	// raw reads without waiting; nil for a connection without a file descriptor.
	raw syscall.RawConn

	mu    sync.Mutex
	cause CloseCause
	// idleSince is when the server last began to wait for a request.
	idleSince time.Time
	lastRead  time.Time
	// reading is set while the server waits for bytes. All bytes before them have then been consumed
	// by its requests, or are the incomplete header of the next one.
	reading  bool
	requests int
	// rested is how long the server waited for the current request.
	rested time.Duration
	// unanswered is set once bytes have been read after the beginning of the last response.
	unanswered bool
}

// ConnUse is what a connection has been used for.
type ConnUse struct {
	// Closed is why it was closed; "" while it is open.
	Closed CloseCause
	// Requests is the number of requests that it has carried, the current one included.
	Requests int
	// Rested is how long it was idle before the current request, the arrival of whose header included.
	Rested time.Duration
}

// newConn returns a connection that was accepted.
func newConn(conn net.Conn) *Conn {
	c := &Conn{Conn: conn}
	if s, ok := conn.(syscall.Conn); ok {
		c.raw, _ = s.SyscallConn() // fails only if the connection is closed
	}
	return c
}

// Close closes the connection. The cause is the server's unless another one is known.
//
// Closing a socket with unread bytes resets the connection, and its caller loses what it has not received
// of the last response.
func (c *Conn) Close() error {
	c.mu.Lock()
	if c.cause == "" {
		c.cause = ClosedByServer
	}
	c.mu.Unlock()
	socket.Discard(c.Conn, maxDiscardedBytes)
	return c.Conn.Close()
}

// CloseWrite ends the side that is written to. The server calls it where it leaves a part of a request
// unread, so that the caller gets the response before the connection is reset.
func (c *Conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// Read reads from the connection. Bytes that arrive as closeIfIdle closes it are not returned, so that
// no request is served whose response can't be written.
func (c *Conn) Read(p []byte) (int, error) {
	if !c.beginRead() {
		return 0, net.ErrClosed
	}
	if c.raw == nil || len(p) == 0 {
		n, err := c.Conn.Read(p)
		return c.endRead(n, err)
	}
	return c.readRaw(p)
}

// readRaw reads under mu, so that closeIfIdle finds bytes either in the receive buffer or recorded here.
func (c *Conn) readRaw(p []byte) (n int, err error) {
	ended := false
	waitErr := c.raw.Read(func(fd uintptr) bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		n = 0
		if err = net.ErrClosed; c.cause == "" {
			n, err = socket.Read(fd, p)
		}
		if errors.Is(err, socket.ErrNoBytes) {
			return false
		}
		n, err = c.endReadLocked(n, err)
		ended = true
		return true
	})
	if ended {
		return n, err
	}
	return c.endRead(0, waitErr)
}

// Use returns what the connection has been used for.
func (c *Conn) Use() ConnUse {
	c.mu.Lock()
	defer c.mu.Unlock()
	return ConnUse{Closed: c.cause, Requests: c.requests, Rested: c.rested}
}

// Write writes a part of a response.
func (c *Conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.unanswered = false
	c.mu.Unlock()
	return c.Conn.Write(p)
}

func (c *Conn) beginRead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cause != "" {
		return false
	}
	c.reading = true
	return true
}

// closeIfIdle closes the connection unless a request may be under way: the server is not waiting for
// bytes, it has read some since its last response, or some have arrived. It reports whether the
// connection is closed.
func (c *Conn) closeIfIdle(cause CloseCause) bool {
	closes, wasClosed := c.decideIdle(cause)
	if closes {
		_ = c.Conn.Close() // the caller may have closed it already; waits for a pending read, which takes mu
	}
	return closes || wasClosed
}

// decideIdle decides whether the connection is closed as idle, and reports whether it was closed before.
func (c *Conn) decideIdle(cause CloseCause) (closes, wasClosed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cause != "" {
		return false, true
	}
	incomplete := c.unanswered && time.Since(c.lastRead) < headerTimeout
	if !c.reading || incomplete || socket.Look(c.Conn) == socket.Bytes {
		return false, false
	}
	c.cause = cause
	return true, false
}

func (c *Conn) endRead(n int, err error) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.endReadLocked(n, err)
}

// endReadLocked records the end of a read. The caller holds mu.
func (c *Conn) endReadLocked(n int, err error) (int, error) {
	c.reading = false
	if c.cause != "" {
		return 0, net.ErrClosed
	}
	if n > 0 {
		c.lastRead, c.unanswered = time.Now(), true
	}
	var timeout net.Error
	if err != nil && !(errors.As(err, &timeout) && timeout.Timeout()) {
		c.cause = ClosedByCaller
	}
	return n, err
}

// setState follows the state that the server reports.
func (c *Conn) setState(s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch s {
	case http.StateActive:
		c.requests++
		c.rested = time.Since(c.idleSince)
	case http.StateNew, http.StateIdle:
		c.idleSince = time.Now()
	}
}

// waited returns how long the server has waited for a request.
func (c *Conn) waited() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Since(c.idleSince)
}

// connListener returns each connection as a Conn.
type connListener struct{ net.Listener }

// NewConnListener returns a listener whose connections are of type *Conn.
func NewConnListener(l net.Listener) net.Listener { return connListener{l} }

// Accept returns the next connection.
func (l connListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return newConn(conn), nil
}

type connKey struct{}

// WithConn returns a context that holds a connection. It is the ConnContext of an http.Server.
func WithConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// RequestConn returns the connection of a request; nil if its server doesn't use WithConn and
// NewConnListener.
func RequestConn(r *http.Request) *Conn {
	c, _ := r.Context().Value(connKey{}).(*Conn)
	return c
}
