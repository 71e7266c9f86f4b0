// Package forward carries requests to upstreams over kept connections and tells what
// is known of each: not sent, broken, or answered and read to its end. It owns the
// connections to upstreams (a Pool each) and relies on nothing of the system; the
// gateway uses it. A Pool is safe for concurrent use, an Answer is not.
package forward

import (
	"bufio"
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"
)

const (
	// DialTimeout bounds a new connection. It is far above a round trip and below the
	// time after which a lost opening packet is sent again (1 s).
	DialTimeout = 350 * time.Millisecond
	// unackedTimeout ends a connection whose bytes the peer does not confirm.
	unackedTimeout = 2 * time.Second
	// keptIdle bounds how long a connection is idle when the upstream names no time; one
	// that was closed meanwhile is seen before its next use.
	keptIdle = 60 * time.Second
	// idleMargin ends an idle connection before the upstream does: more than a round trip.
	idleMargin = 300 * time.Millisecond
	// readBufferBytes is the read buffer of a connection; events are some 200 bytes.
	readBufferBytes = 4 << 10
)

// The errors of a send that had no effect.
const (
	// ErrNothingListens is an ErrNotSent since nothing listens at the address.
	ErrNothingListens = errors.ConstError("forward: nothing listens")
	// ErrNotSent means that no byte of the request left.
	ErrNotSent = errors.ConstError("forward: not sent")
)

// ErrBroken means that the request was sent and has no complete answer.
const ErrBroken = errors.ConstError("forward: broken")

// conn is one connection to an upstream.
type conn struct {
	net.Conn
	expires time.Time
	reader  *bufio.Reader
}

// Pool keeps connections to one upstream.
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

// Close closes what is idle; connections in use are closed after their answer.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		_ = c.Close()
	}
	p.idle = nil
}

// get returns the connection that was used last and is still good, or a new one.
func (p *Pool) get(ctx context.Context) (*conn, error) {
	for {
		c := p.pop()
		if c == nil {
			return p.dial(ctx)
		}
		if time.Now().Before(c.expires) && c.quiet() {
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

// put keeps a connection whose last answer was read to its end.
func (p *Pool) put(c *conn, idle time.Duration) {
	if idle <= 0 {
		idle = keptIdle
	}
	c.expires = time.Now().Add(idle - idleMargin)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		_ = c.Close()
		return
	}
	p.idle = append(p.idle, c)
}

func (p *Pool) dial(ctx context.Context) (*conn, error) {
	d := net.Dialer{Timeout: DialTimeout, Control: setUnackedTimeout, KeepAlive: -1}
	c, err := d.DialContext(ctx, "tcp", p.address)
	if err != nil {
		notSent := errors.Annotate(ErrNotSent, err.Error())
		if errors.Is(err, syscall.ECONNREFUSED) {
			return nil, errors.WithType(notSent, ErrNothingListens)
		}
		return nil, notSent
	}
	return &conn{Conn: c, reader: bufio.NewReaderSize(c, readBufferBytes)}, nil
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

// quiet reports whether an idle connection is open and has nothing to read:
// bytes that nobody asked for belong to no request.
func (c *conn) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		_, _, peekErr := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = peekErr == unix.EAGAIN
	})
	return err == nil && quiet
}
