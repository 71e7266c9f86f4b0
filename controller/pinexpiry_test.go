package controller

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sandbarrow.example/sandbarrow/enginelink"
	"sandbarrow.example/sandbarrow/internal/boottime"
)

func TestExpiryOfPin(t *testing.T) {
	now := time.Unix(1000, 0)
	assert.Equal(t, expiryOf(now, &enginelink.Acquire{DeadlineMS: 5000}), now.Add(6*time.Second))
	assert.Assert(t, expiryOf(now, &enginelink.Acquire{}).IsZero(), "a former build names no deadline")
	p := pin{expires: now}
	assert.Assert(t, !p.hasExpired(now))
	assert.Assert(t, p.hasExpired(now.Add(1)))
	assert.Assert(t, !(&pin{}).hasExpired(now))
}

// A pin whose unpin was lost must not keep its adapter for longer than its request can run.
func TestPinExpiresWithItsRequest(t *testing.T) {
	c := newPinnedController(t)
	rpc := openNumberedLink(t, c, "p", 1)
	short, long := pinRequest("1", "a"), pinRequest("2", "b")
	short.DeadlineMS, long.DeadlineMS = 1000, 20_000
	acquirePin(t, rpc, short)
	acquirePin(t, rpc, long)
	c.checkLinks()
	assert.Equal(t, c.pinsOn("a"), 1)
	c.mu.Lock()
	c.now = func() time.Time { return boottime.Now().Add(3 * time.Second) }
	c.mu.Unlock()
	c.checkLinks()
	assert.Equal(t, c.pinsOn("a"), 0)
	assert.Equal(t, c.pinsOn("b"), 1)
	assert.NilError(t, rpc.Notify(t.Context(), enginelink.MethodUnpin, enginelink.Pin{ID: "1"}))
	roundTrip(t, rpc)
	assert.Equal(t, c.pinsOn("a"), 0)
}
