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

// linkTo opens a link as a gateway does; got is told each message, nil for none.
func linkTo(ctx context.Context, c *Controller, got func(*jsonrpc2.Request)) *jsonrpc2.Conn {
	near, far := net.Pipe()
	go c.serveLink(ctx, near)
	return jsonrpc2.NewConn(ctx, wire.NewStream(far), wire.Handler(func(_ context.Context, r *jsonrpc2.Request) (any, error) {
		if got != nil {
			got(r)
		}
		return nil, nil
	}))
}

func (c *Controller) linked() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.links)
}

func (c *Controller) usesOf(adapter string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.slots.pins[key(adapter)]
}

func eventually(t *testing.T, ok func() bool) {
	t.Helper()
	await.Until(t, 5*time.Second, "what is awaited", ok)
}

func TestUseOutlivesItsLink(t *testing.T) {
	f := newFakeEngine(testSlots)
	f.models = []sandbarrow.BaseModelID{testModel}
	f.loaded[key("a")] = 1
	c := newTestController(t, f)
	step(t, c)
	ask := enginelink.Acquire{Adapter: "a", ID: "1", Model: testModel, WaitMS: 100}
	first := linkTo(t.Context(), c, nil)
	var g enginelink.Grant
	assert.NilError(t, first.Call(t.Context(), enginelink.MethodAcquire, ask, &g))
	assert.NilError(t, first.Close())
	eventually(t, func() bool { return c.linked() == 0 })
	assert.Equal(t, c.usesOf("a"), 1, "the request may run still")
	second := linkTo(t.Context(), c, nil)
	assert.NilError(t, second.Notify(t.Context(), enginelink.MethodPinned, ask))
	time.Sleep(orphanGrace + 100*time.Millisecond)
	assert.Equal(t, c.usesOf("a"), 1, "its gateway has linked anew")
	assert.NilError(t, second.Close())
	eventually(t, func() bool { return c.usesOf("a") == 0 })
}

func TestPinsOfAnotherGatewayAreAwaited(t *testing.T) {
	f := newFakeEngine(testSlots)
	f.models = []sandbarrow.BaseModelID{testModel}
	for i := range testSlots {
		f.loaded[key(fmt.Sprintf("old%d", i))] = 1
	}
	c := newTestController(t, f)
	step(t, c)
	for range 2 {
		assert.NilError(t, linkTo(t.Context(), c, nil).Close())
	}
	eventually(t, func() bool { return c.linked() == 0 })
	time.Sleep(orphanGrace + 100*time.Millisecond)
	first := linkTo(t.Context(), c, nil)
	eventually(t, func() bool { return c.linked() == 1 })
	_, err := first.DispatchCall(t.Context(), enginelink.MethodAcquire, enginelink.Acquire{Adapter: "new", ID: "1", Model: testModel, WaitMS: 2000})
	assert.NilError(t, err)
	eventually(t, func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.slots.pending[key("new")] != nil
	})
	step(t, c)
	for i := range testSlots {
		_, held := f.loaded[key(fmt.Sprintf("old%d", i))]
		assert.Check(t, held, "old%d was unloaded before the other gateway could report its pins", i)
	}
	time.Sleep(orphanGrace)
	eventually(t, func() bool {
		step(t, c)
		_, loaded := f.loaded[key("new")]
		return loaded
	})
}

func TestDoneEndsTheOrphanToo(t *testing.T) {
	f := newFakeEngine(testSlots)
	f.models = []sandbarrow.BaseModelID{testModel}
	f.loaded[key("a")] = 1
	c := newTestController(t, f)
	step(t, c)
	ask := enginelink.Acquire{Adapter: "a", ID: "1", Model: testModel, WaitMS: 100}
	first := linkTo(t.Context(), c, nil)
	var g enginelink.Grant
	assert.NilError(t, first.Call(t.Context(), enginelink.MethodAcquire, ask, &g))
	second := linkTo(t.Context(), c, nil) // the gateway has given the first one up, which is still open here
	assert.NilError(t, second.Notify(t.Context(), enginelink.MethodPinned, ask))
	eventually(t, func() bool { return c.usesOf("a") == 2 })
	assert.NilError(t, first.Close())
	eventually(t, func() bool { return c.linked() == 1 })
	assert.NilError(t, second.Notify(t.Context(), enginelink.MethodUnpin, enginelink.Pin{ID: "1"}))
	time.Sleep(orphanGrace + 200*time.Millisecond)
	assert.Equal(t, c.usesOf("a"), 0, "the request has ended")
}
