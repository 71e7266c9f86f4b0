package listening

import (
	"context"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestDialDetectsListener(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := l.Addr().String()
	assert.Equal(t, Dial(t.Context(), address, time.Second), Accepted)
	assert.NilError(t, l.Close())
	assert.Equal(t, Dial(t.Context(), address, time.Second), Refused)
	canceled, cancel := context.WithCancel(t.Context())
	cancel()
	assert.Equal(t, Dial(canceled, address, time.Second), Unknown)
}
