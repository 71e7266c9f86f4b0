package controller

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/enginelink"
	"sandbarrow.example/sandbarrow/internal/boottime"
)

func TestNoUnloadRightAfterAFreeze(t *testing.T) {
	f := newFakeEngine(testSlots)
	f.models = []sandbarrow.BaseModelID{testModel}
	for i := range testSlots {
		f.loaded[key(fmt.Sprintf("old%d", i))] = 1
	}
	c := newTestController(t, f)
	step(t, c)
	link, _ := linkTo(t.Context(), c, nil), linkTo(t.Context(), c, nil)
	eventually(t, func() bool { return c.linked() == 2 })
	time.Sleep(relinkTime + pinReportTime)
	step(t, c)
	c.mu.Lock()
	c.now = func() time.Time { return boottime.Now().Add(enginelink.HeartbeatTimeout + enginelink.HeartbeatInterval) } // as by SIGSTOP
	c.mu.Unlock()
	_, err := link.DispatchCall(t.Context(), enginelink.MethodAcquire, enginelink.Acquire{Adapter: "new", ID: "1", Model: testModel, WaitMS: 3000})
	assert.NilError(t, err)
	eventually(t, func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.slots.pending[key("new")] != nil
	})
	step(t, c)
	for i := range testSlots {
		_, held := f.loaded[key(fmt.Sprintf("old%d", i))]
		assert.Check(t, held, "old%d was unloaded before a pin on it could be read", i)
	}
	eventually(t, func() bool {
		step(t, c)
		_, loaded := f.loaded[key("new")]
		return loaded
	})
}
