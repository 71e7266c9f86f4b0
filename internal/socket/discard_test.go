package socket

import (
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sandbarrow.example/sandbarrow/internal/await"
)

func TestDiscardReadsWhatHasArrived(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	far, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	defer far.Close()
	near, err := l.Accept()
	assert.NilError(t, err)
	Discard(near, 1) // nothing to read
	_, err = io.WriteString(far, "ab")
	assert.NilError(t, err)
	await.Until(t, 2*time.Second, "bytes", func() bool { return Look(near) == Bytes })
	Discard(near, 1)
	assert.Equal(t, Look(near), Nothing)
	assert.NilError(t, near.Close())
	Discard(near, 1)
}
