package controller

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/sourcegraph/jsonrpc2"
	"gotest.tools/v3/assert"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/enginelink"
	"sandbarrow.example/sandbarrow/wire"
)

// linkTo opens a link as a gateway does.
func linkTo(ctx context.Context, c *Controller) *jsonrpc2.Conn {
	near, far := net.Pipe()
	go c.serveLink(ctx, near)
	return jsonrpc2.NewConn(ctx, wire.NewStream(far), wire.Handler(func(context.Context, *jsonrpc2.Request) (any, error) { return nil, nil }))
}

func (c *Controller) usesOf(adapter string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.slots.uses[key(adapter)]
}

func eventually(t *testing.T, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("did not come about in 5 s")
		}
	}
}

// A request goes on at its engine when the link of its gateway breaks: its
// adapter stays in use until the gateway has linked anew, or a moment passed.
func TestUseOutlivesItsLink(t *testing.T) {
	f := newFakeEngine(testSlots)
	f.models = []sandbarrow.BaseModelID{testModel}
	f.loaded[key("a")] = 1
	c := newTestController(t, f)
	step(t, c)
	ask := enginelink.Acquire{Adapter: "a", ID: "1", Model: testModel, WaitMS: 100}
	first := linkTo(t.Context(), c)
	var g enginelink.Grant
	assert.NilError(t, first.Call(t.Context(), enginelink.MethodAcquire, ask, &g))
	assert.NilError(t, first.Close())
	eventually(t, func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return len(c.links) == 0
	})
	assert.Equal(t, c.usesOf("a"), 1, "the request may run still")
	second := linkTo(t.Context(), c)
	assert.NilError(t, second.Notify(t.Context(), enginelink.MethodUsing, ask))
	time.Sleep(orphanGrace + 100*time.Millisecond)
	assert.Equal(t, c.usesOf("a"), 1, "its gateway has linked anew")
	assert.NilError(t, second.Close())
	eventually(t, func() bool { return c.usesOf("a") == 0 })
}
