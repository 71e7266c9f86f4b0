package response

import (
	"context"
	"io"
	"net"
	"sync"
	"syscall"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"

	"sandbarrow.example/sandbarrow/internal/socket"
)

// Conn is a connection to a server that tells its end from a reset. A body without a length is complete
// where its connection ends. The kernel reports a reset once: to the read, the write or the look that
// comes first. All others then get what they would get at an orderly end. Conn is safe for concurrent use.
type Conn struct {
	net.Conn

	mu sync.Mutex
	// first is the first error of the connection that the kernel has reported to a write or a look.
	first error
}

// NewConn returns a connection that uses conn.
func NewConn(conn net.Conn) *Conn { return &Conn{Conn: conn} }

// stateClosed is the kernel's TCP_CLOSE.
const stateClosed = unix.BPF_TCP_CLOSE

// Dialer returns a function that opens connections with d. It is the DialContext of a transport.
func Dialer(d *net.Dialer) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(conn), nil
	}
}

// Look returns what the connection has received and its process has not read.
func (c *Conn) Look() socket.Pending {
	c.mu.Lock()
	defer c.mu.Unlock()
	pending, err := socket.LookError(c.Conn)
	c.recordLocked(err)
	return pending
}

// Read reads from the connection. It returns ErrReset instead of io.EOF if the connection was reset.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == io.EOF && c.wasReset() {
		err = ErrReset
	}
	return n, err
}

// Write writes to the connection.
func (c *Conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil {
		c.mu.Lock()
		c.recordLocked(err)
		c.mu.Unlock()
	}
	return n, err
}

// recordLocked records an error that the kernel has reported. The caller holds mu.
func (c *Conn) recordLocked(err error) {
	if c.first == nil {
		c.first = err
	}
}

// wasReset decides at the end of the connection whether it was reset before its server had ended it.
func (c *Conn) wasReset() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	state, pending := c.stateLocked()
	c.recordLocked(pending)
	return isReset(state, c.first)
}

// isReset decides whether a connection that has no more bytes to read was reset before its server had ended
// it.
//
// Inputs: the state of the connection, and the first error that the kernel has reported. A reset leaves the
// connection closed. Where the server's end had arrived before, the error is EPIPE: the response is
// complete, and the server refuses the rest of the request. Without an error, whoever got it has not
// recorded it yet. An unknown state shows nothing.
func isReset(state uint8, first error) bool {
	switch {
	case errors.Is(first, syscall.ECONNRESET):
		return true
	case errors.Is(first, syscall.EPIPE):
		return false
	}
	return state == stateClosed
}

// stateLocked returns the state of the TCP connection, 0 if it is unknown, and the error that the kernel has
// not reported yet. The caller holds mu.
func (c *Conn) stateLocked() (state uint8, pending error) {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return 0, nil
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return 0, nil
	}
	_ = raw.Control(func(fd uintptr) { // fails only if the connection is closed
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			state = info.State
		}
		if number, err := unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_ERROR); err == nil && number != 0 {
			pending = syscall.Errno(number)
		}
	})
	return state, pending
}
