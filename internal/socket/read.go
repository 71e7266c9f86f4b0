package socket

import (
	"io"
	"os"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"
)

// ErrNoBytes is the error of a read where nothing has arrived.
const ErrNoBytes = errors.ConstError("socket: no bytes")

// Read reads what a non-blocking socket has received, and doesn't wait. p must not be empty.
func Read(fd uintptr, p []byte) (int, error) {
	for {
		n, err := unix.Read(int(fd), p)
		switch {
		case err == unix.EINTR:
			continue
		case err == unix.EAGAIN:
			return 0, ErrNoBytes
		case err != nil:
			return 0, os.NewSyscallError("read", err)
		case n == 0:
			return 0, io.EOF
		}
		return n, nil
	}
}
