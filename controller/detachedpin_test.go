package controller

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/sourcegraph/jsonrpc2"
	"gotest.tools/v3/assert"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/enginelink"
	"sandbarrow.example/sandbarrow/internal/await"
	"sandbarrow.example/sandbarrow/wire"
)

// openLink opens a link as a gateway does. got is called with each message; it may be nil.
func openLink(ctx context.Context, c *Controller, got func(*jsonrpc2.Request)) *jsonrpc2.Conn {
	near, far := net.Pipe()
	go c.serveLink(ctx, near)
	return jsonrpc2.NewConn(ctx, wire.NewStream(far), wire.Handler(func(_ context.Context, r *jsonrpc2.Request) (any, error) {
		if got != nil {
			got(r)
		}
		return nil, nil
	}))
}

func (c *Controller) linkCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.links)
}

func (c *Controller) pinsOn(adapter string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.slots.pins[key(adapter)]
}

func eventually(t *testing.T, ok func() bool) {
	t.Helper()
	await.Until(t, 5*time.Second, "the expected state", ok)
}

func TestPinOutlivesItsLink(t *testing.T) {
	f := newFakeEngine(testSlots)
	f.models = []sandbarrow.BaseModelID{testModel}
	f.loaded[key("a")] = 1
	c := newTestController(t, f)
	step(t, c)
	request := enginelink.Acquire{Adapter: "a", ID: "1", Model: testModel, WaitMS: 100}
	first := openLink(t.Context(), c, nil)
	var g enginelink.Grant
	assert.NilError(t, first.Call(t.Context(), enginelink.MethodAcquire, request, &g))
	assert.NilError(t, first.Close())
	eventually(t, func() bool { return c.linkCount() == 0 })
	assert.Equal(t, c.pinsOn("a"), 1, "the request may still be running")
	second := openLink(t.Context(), c, nil)
	assert.NilError(t, second.Notify(t.Context(), enginelink.MethodPinned, request))
	time.Sleep(detachedPinGrace + 100*time.Millisecond)
	assert.Equal(t, c.pinsOn("a"), 1, "its gateway has linked again")
	assert.NilError(t, second.Close())
	eventually(t, func() bool { return c.pinsOn("a") == 0 })
}

func TestNoUnloadBeforeOtherGatewayReportsPins(t *testing.T) {
	f := newFakeEngine(testSlots)
	f.models = []sandbarrow.BaseModelID{testModel}
	for i := range testSlots {
		f.loaded[key(fmt.Sprintf("old%d", i))] = 1
	}
	c := newTestController(t, f)
	step(t, c)
	for range 2 {
		assert.NilError(t, openLink(t.Context(), c, nil).Close())
	}
	eventually(t, func() bool { return c.linkCount() == 0 })
	time.Sleep(detachedPinGrace + 100*time.Millisecond)
	first := openLink(t.Context(), c, nil)
	eventually(t, func() bool { return c.linkCount() == 1 })
	_, err := first.DispatchCall(t.Context(), enginelink.MethodAcquire, enginelink.Acquire{Adapter: "new", ID: "1", Model: testModel, WaitMS: 2000})
	assert.NilError(t, err)
	eventually(t, func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.slots.pending[key("new")] != nil
	})
	step(t, c)
	for i := range testSlots {
		_, present := f.loaded[key(fmt.Sprintf("old%d", i))]
		assert.Check(t, present, "old%d was unloaded before the other gateway could report its pins", i)
	}
	time.Sleep(detachedPinGrace)
	eventually(t, func() bool {
		step(t, c)
		_, loaded := f.loaded[key("new")]
		return loaded
	})
}

func TestDoneReleasesDetachedPin(t *testing.T) {
	f := newFakeEngine(testSlots)
	f.models = []sandbarrow.BaseModelID{testModel}
	f.loaded[key("a")] = 1
	c := newTestController(t, f)
	step(t, c)
	request := enginelink.Acquire{Adapter: "a", ID: "1", Model: testModel, WaitMS: 100}
	first := openLink(t.Context(), c, nil)
	var g enginelink.Grant
	assert.NilError(t, first.Call(t.Context(), enginelink.MethodAcquire, request, &g))
	second := openLink(t.Context(), c, nil) // the gateway has dropped the first link, which is still open here
	assert.NilError(t, second.Notify(t.Context(), enginelink.MethodPinned, request))
	eventually(t, func() bool { return c.pinsOn("a") == 2 })
	assert.NilError(t, first.Close())
	eventually(t, func() bool { return c.linkCount() == 1 })
	assert.NilError(t, second.Notify(t.Context(), enginelink.MethodUnpin, enginelink.Pin{ID: "1"}))
	time.Sleep(detachedPinGrace + 200*time.Millisecond)
	assert.Equal(t, c.pinsOn("a"), 0, "the request is done")
}
