package httpserve

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"
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
)

// Conn is a connection of a caller that follows its own use, so that logs and metrics tell which side
// closed it and after what. It is safe for concurrent use.
type Conn struct {
	net.Conn

	mu    sync.Mutex
	cause CloseCause
	// idleSince is when the last response was complete; zero before the first one and during a request.
	idleSince time.Time
	requests  int
	rested    time.Duration
}

// ConnUse is what a connection has been used for.
type ConnUse struct {
	// Closed is why it was closed; "" while it is open.
	Closed CloseCause
	// Requests is the number of requests that it has carried, the current one included.
	Requests int
	// Rested is how long it was idle before the current request.
	Rested time.Duration
}

// Close closes the connection. The cause is the server's unless another one is known.
func (c *Conn) Close() error {
	c.setCause(ClosedByServer)
	return c.Conn.Close()
}

// Read reads from the connection.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	var timeout net.Error
	if err != nil && !(errors.As(err, &timeout) && timeout.Timeout()) {
		c.setCause(ClosedByCaller)
	}
	return n, err
}

// Use returns what the connection has been used for.
func (c *Conn) Use() ConnUse {
	c.mu.Lock()
	defer c.mu.Unlock()
	return ConnUse{Closed: c.cause, Requests: c.requests, Rested: c.rested}
}

// closeFor closes the connection for a cause of this side.
func (c *Conn) closeFor(cause CloseCause) {
	c.setCause(cause)
	_ = c.Conn.Close() // the caller may have closed it already
}

// setCause records why the connection is closed, unless that is known already.
func (c *Conn) setCause(cause CloseCause) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cause == "" {
		c.cause = cause
	}
}

// setState follows the state that the server reports.
func (c *Conn) setState(s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch s {
	case http.StateActive:
		c.requests++
		if !c.idleSince.IsZero() {
			c.rested = time.Since(c.idleSince)
		}
		c.idleSince = time.Time{}
	case http.StateIdle:
		c.idleSince = time.Now()
	}
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
	return &Conn{Conn: conn}, nil
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
