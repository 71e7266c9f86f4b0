package socket

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// discardBytes is how many bytes are discarded at once.
const discardBytes = 4 << 10

// Discard reads what a connection has received, atMost bytes or little more, and throws it away. It does
// not wait. A connection without a file descriptor is left as it is.
func Discard(conn net.Conn, atMost int) {
	c, ok := conn.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) { // fails only if the connection is closed
		var piece [discardBytes]byte
		for discarded := 0; discarded < atMost; {
			n, _, err := unix.Recvfrom(int(fd), piece[:], unix.MSG_DONTWAIT)
			if n <= 0 || err != nil {
				return
			}
			discarded += n
		}
	})
}
