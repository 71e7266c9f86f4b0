package wire

import (
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestQuietCountsChecksWithoutMessages(t *testing.T) {
	var q Quiet
	for i, tc := range []struct {
		messages uint64
		want     int
	}{{0, 1}, {0, 2}, {3, 0}, {3, 1}, {4, 0}, {4, 1}, {4, 2}, {4, 3}, {9, 0}} {
		assert.Equal(t, q.Check(tc.messages), tc.want, "check %d", i)
	}
}

func TestQuietStreamIsClosed(t *testing.T) {
	near, far := net.Pipe()
	stream, peer := NewStream(near), NewStream(far)
	go func() {
		for range 3 {
			_ = peer.WriteObject(map[string]int{})
			time.Sleep(30 * time.Millisecond)
		}
	}()
	closed := make(chan bool, 1)
	began := time.Now()
	go func() { closed <- stream.CloseWhenQuiet(t.Context(), 20*time.Millisecond, 3) }()
	for {
		var message map[string]int
		if err := stream.ReadObject(&message); err != nil {
			break
		}
	}
	assert.Assert(t, <-closed)
	assert.Assert(t, time.Since(began) >= 100*time.Millisecond)
}
