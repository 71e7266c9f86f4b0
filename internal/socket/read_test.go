package socket

import (
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sandbarrow.example/sandbarrow/internal/await"
)

func TestReadReturnsWhatHasArrived(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	far, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	near, err := l.Accept()
	assert.NilError(t, err)
	defer near.Close()
	raw, err := near.(*net.TCPConn).SyscallConn()
	assert.NilError(t, err)
	p := make([]byte, 2)
	read := func() (n int, err error) {
		assert.NilError(t, raw.Control(func(fd uintptr) { n, err = Read(fd, p) }))
		return n, err
	}
	_, err = read()
	assert.ErrorIs(t, err, ErrNoBytes)
	_, err = io.WriteString(far, "abc")
	assert.NilError(t, err)
	await.Until(t, 2*time.Second, "bytes", func() bool { return Look(near) == Bytes })
	n, err := read()
	assert.NilError(t, err)
	assert.Equal(t, string(p[:n]), "ab")
	n, err = read()
	assert.NilError(t, err)
	assert.Equal(t, n, 1)
	assert.NilError(t, far.Close())
	await.Until(t, 2*time.Second, "the end", func() bool { return Look(near) == End })
	_, err = read()
	assert.ErrorIs(t, err, io.EOF)
	assert.NilError(t, near.Close())
}
