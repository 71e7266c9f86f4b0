package controller

import (
	"testing"

	"gotest.tools/v3/assert"

	"sandbarrow.example/sandbarrow/enginelink"
	"sandbarrow.example/sandbarrow/internal/boottime"
)

func TestUnloadsWaitAfterSuspension(t *testing.T) {
	c := newTestController(t, newFakeEngine(testSlots))
	c.mu.Lock()
	defer c.mu.Unlock()
	assert.Equal(t, c.unreported.recordRun(c.now()), c.unreported.recordRun(c.now()))
	boottime.Suspend(enginelink.HeartbeatTimeout)
	assert.Check(t, c.unreported.recordRun(c.now()) >= enginelink.HeartbeatTimeout)
	assert.Check(t, c.unreported.mayExist(c.now()))
}
