// Package forward sends requests to upstreams over persistent HTTP connections. It distinguishes
// requests that were not sent, requests without a complete response, and complete responses. It
// owns the connections to upstreams, with one Pool for each upstream, and the rules for which headers
// are forwarded. It knows nothing of the system's decisions. The gateway uses it. A Pool is safe
// for concurrent use, an UpstreamResponse is not.
package forward

import (
	"bufio"
	"context"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"

	"sandbarrow.example/sandbarrow/internal/response"
	"sandbarrow.example/sandbarrow/internal/socket"
)

const (
	// DialTimeout bounds the time to open a connection. It is far above a round trip and below
	// the time after which TCP retransmits a lost SYN packet (1 s).
	DialTimeout = 350 * time.Millisecond
	// unackedTimeout is the time after which a connection with unacknowledged bytes is closed.
	unackedTimeout = 2 * time.Second
	// defaultIdleTimeout bounds how long a connection stays idle if the upstream names no
	// timeout. A connection that the upstream closed earlier is detected before its next use.
	defaultIdleTimeout = 60 * time.Second
	// idleMargin is how long before the upstream's own timeout an idle connection expires. It is
	// longer than a round trip.
	idleMargin = 300 * time.Millisecond
	// readBufferBytes is the size of a connection's read buffer. An event has about 200 bytes.
	readBufferBytes = 4 << 10
)

// The errors of a request that had no effect.
const (
	// ErrConnectionRefused is an ErrNotSent whose cause is that no process listens at the address.
	ErrConnectionRefused = errors.ConstError("forward: connection refused")
	// ErrNotSent means that no byte of the request was sent.
	ErrNotSent = errors.ConstError("forward: not sent")
)

// ErrBroken means that the request was sent, at least in part, and has no complete response.
const ErrBroken = errors.ConstError("forward: no complete response")

// conn is one connection to an upstream.
type conn struct {
	*response.Conn
	// bytes reads from Conn, and reader from bytes.
	bytes   *responseReader
	expires time.Time
	// lastUsed is when the last response was complete; zero before the first.
	lastUsed time.Time
	reader   *bufio.Reader
}

// Pool holds the connections to one upstream.
type Pool struct {
	address string

	mu     sync.Mutex
	closed bool
	idle   []*conn
}

// NewPool returns an empty pool for an address.
func NewPool(address string) *Pool {
	return &Pool{address: address}
}

// Close closes the idle connections. Connections in use are closed after their response.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		_ = c.Close()
	}
	p.idle = nil
}

// get returns the most recently used connection that is still usable, or a new one.
func (p *Pool) get(ctx context.Context) (*conn, error) {
	for {
		c := p.pop()
		if c == nil {
			return p.dial(ctx)
		}
		if time.Now().Before(c.expires) && c.usable() {
			return c, nil
		}
		_ = c.Close()
	}
}

func (p *Pool) pop() *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 {
		return nil
	}
	c := p.idle[len(p.idle)-1]
	p.idle = p.idle[:len(p.idle)-1]
	return c
}

// put returns a connection to the pool after its last response was read completely.
func (p *Pool) put(c *conn, idle time.Duration) {
	if idle <= 0 {
		idle = defaultIdleTimeout
	}
	c.lastUsed = time.Now()
	c.expires = c.lastUsed.Add(idle - idleMargin)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		_ = c.Close()
		return
	}
	p.idle = append(p.idle, c)
}

// closeUnusedSince closes the idle connections that have carried no complete response since a time.
func (p *Pool) closeUnusedSince(t time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle = slices.DeleteFunc(p.idle, func(c *conn) bool {
		if c.lastUsed.After(t) {
			return false
		}
		_ = c.Close()
		return true
	})
}

func (p *Pool) dial(ctx context.Context) (*conn, error) {
	d := net.Dialer{Timeout: DialTimeout, Control: setUnackedTimeout, KeepAlive: -1}
	c, err := d.DialContext(ctx, "tcp", p.address)
	if err != nil {
		notSent := errors.Annotate(ErrNotSent, err.Error())
		if errors.Is(err, syscall.ECONNREFUSED) {
			return nil, errors.WithType(notSent, ErrConnectionRefused)
		}
		return nil, notSent
	}
	wrapped := response.NewConn(c)
	bytes := newResponseReader(wrapped)
	return &conn{Conn: wrapped, bytes: bytes, reader: bufio.NewReaderSize(bytes, readBufferBytes)}, nil
}

func setUnackedTimeout(_, _ string, raw syscall.RawConn) error {
	var set error
	err := raw.Control(func(fd uintptr) {
		set = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return set
}

// buffered returns the number of bytes that have been received and not read.
func (c *conn) buffered() int { return c.reader.Buffered() + c.bytes.buffer.Buffered() }

// usable reports whether an idle connection is open and has no bytes to read. Unexpected bytes
// belong to no request, so a connection with such bytes is not used again.
func (c *conn) usable() bool {
	return c.buffered() == 0 && c.Look() == socket.Nothing
}
