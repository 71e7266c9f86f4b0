package controller

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/enginelink"
)

// A gateway that ends an acquire, since its caller has left, keeps neither a place in the
// queue nor a pin, whether the adapter is loaded meanwhile or not.
func TestGatewayThatLeavesHoldsNothing(t *testing.T) {
	f := newFakeEngine(testSlots)
	f.models = []sandbarrow.BaseModelID{testModel}
	c := newTestController(t, f)
	step(t, c)
	rpc := linkTo(t.Context(), c, nil)
	ctx, leave := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() {
		ended <- rpc.Call(ctx, enginelink.MethodAcquire, enginelink.Acquire{Adapter: "a", ID: "1", Model: testModel, Tokens: 1000, WaitMS: 60_000}, new(enginelink.Grant))
	}()
	pending := func() int {
		c.mu.Lock()
		defer c.mu.Unlock()
		return len(c.slots.pending)
	}
	eventually(t, func() bool { return pending() == 1 })
	leave()
	<-ended
	assert.NilError(t, rpc.Notify(t.Context(), enginelink.MethodDone, enginelink.Pin{ID: "1"}))
	eventually(t, func() bool { return pending() == 0 })
	step(t, c)
	step(t, c)
	assert.Equal(t, c.usesOf("a"), 0)
	c.mu.Lock()
	defer c.mu.Unlock()
	waiting := c.slots.waiting()
	assert.Equal(t, waiting.Total(), 0)
}

// A grant that crosses the end of its acquire is given back.
func TestGrantThatCrossesTheLeaveIsReleased(t *testing.T) {
	c := newTestController(t, newFakeEngine(testSlots))
	l := &link{calls: map[sandbarrow.RequestID]*acquireCall{}, controller: c, ctx: t.Context(), pins: map[sandbarrow.RequestID]*pin{}}
	q := &enginelink.Acquire{Adapter: "a", ID: "1", Model: testModel}
	a := l.keepCall(q.ID)
	p := &pin{key: key("a")}
	c.mu.Lock()
	c.slots.markLoaded(c.now(), key("a"), 1)
	a.request = c.slots.acquire(c.now(), q, p)
	c.mu.Unlock()
	g := <-a.request.grant
	l.applyProgress(q.ID, enginelink.MethodDone)
	assert.Equal(t, l.granted(q, p, g, a).Refused, enginelink.RefuseLeft)
	assert.Equal(t, c.usesOf("a"), 0)
	assert.Equal(t, len(l.pins), 0)
}
