// Package socket looks at what a connection has received, reads it or discards it, without waiting. It keeps no
// state.
package socket

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Pending is what the receive buffer of a connection holds.
type Pending int

// The contents of a receive buffer.
const (
	// Nothing is an open connection without bytes to read.
	Nothing Pending = iota
	// Bytes are bytes to read.
	Bytes
	// End is the end of the connection, or an error.
	End
)

// Look returns what a connection has received and its process has not read. A connection without a
// file descriptor counts as one without bytes. The kernel reports an error of the connection once: if it
// reports one to Look, the next read returns io.EOF.
func Look(conn net.Conn) Pending {
	pending, _ := LookError(conn)
	return pending
}

// LookError is Look that also returns the error which the kernel has reported, if any.
func LookError(conn net.Conn) (pending Pending, reported error) {
	c, ok := conn.(syscall.Conn)
	if !ok {
		return Nothing, nil
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return End, nil
	}
	pending = End
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		n, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		switch {
		case err == unix.EAGAIN:
			pending = Nothing
		case err != nil:
			reported = err
		case n > 0:
			pending = Bytes
		}
	})
	if err != nil {
		return End, nil
	}
	return pending, reported
}
