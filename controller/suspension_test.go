package controller

import (
	"testing"

	"gotest.tools/v3/assert"

	"sandbarrow.example/sandbarrow/enginelink"
	"sandbarrow.example/sandbarrow/internal/boottime"
)

// A machine may be suspended for seconds: its steady clock stands still meanwhile, while
// what others hold runs on (a lease in the store, a caller's patience, the other end of a
// link). An age that the steady clock counts is then too young, and guards nothing.
//
// A controller that was suspended for longer than its gateways wait for a status knows that
// they may have taken pins without it.
func TestSuspension(t *testing.T) {
	c := newTestController(t, newFakeEngine(testSlots))
	c.mu.Lock()
	defer c.mu.Unlock()
	assert.Equal(t, c.unreported.runs(c.now()), c.unreported.runs(c.now()))
	boottime.Suspend(enginelink.HeartbeatTimeout)
	assert.Check(t, c.unreported.runs(c.now()) >= enginelink.HeartbeatTimeout)
	assert.Check(t, c.unreported.possible(c.now()))
}
