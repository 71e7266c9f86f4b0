package socket

import (
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sandbarrow.example/sandbarrow/internal/await"
)

func TestLookLeavesBytesUnread(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	far, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	near, err := l.Accept()
	assert.NilError(t, err)
	defer near.Close()
	assert.Equal(t, Look(near), Nothing)
	_, err = io.WriteString(far, "ab")
	assert.NilError(t, err)
	await.Until(t, 2*time.Second, "bytes", func() bool { return Look(near) == Bytes })
	got := make([]byte, 2)
	_, err = io.ReadFull(near, got)
	assert.NilError(t, err)
	assert.Equal(t, string(got), "ab")
	assert.Equal(t, Look(near), Nothing)
	assert.NilError(t, far.Close())
	await.Until(t, 2*time.Second, "the end", func() bool { return Look(near) == End })
}
