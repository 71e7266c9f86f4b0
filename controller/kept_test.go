package controller

import (
	"encoding/json"
	"sync"
	"testing"
	"time"

	"github.com/sourcegraph/jsonrpc2"
	"gotest.tools/v3/assert"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/enginelink"
	"sandbarrow.example/sandbarrow/promptcache"
	"sandbarrow.example/sandbarrow/readspeed"
)

// keptView is a gateway's mirror, kept by the messages of a link.
type keptView struct {
	mu     sync.Mutex
	mirror promptcache.Mirror
}

func (v *keptView) follow(r *jsonrpc2.Request) {
	if r.Method != enginelink.MethodKept {
		return
	}
	var k enginelink.Kept
	if json.Unmarshal(*r.Params, &k) != nil {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.mirror.Apply(k.Changes, k.All)
}

func (v *keptView) kept(s []promptcache.Stretch) int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.mirror.Kept(s)
}

// What the engine keeps of a prompt is reported to all gateways once it is read, also to
// one that is linked later, and is gone with the adapter.
func TestKeptPartsAreReported(t *testing.T) {
	f := newFakeEngine(testSlots)
	f.models = []sandbarrow.BaseModelID{testModel}
	f.loaded[key("a")] = 1
	c := newTestController(t, f)
	step(t, c)
	go func() { _ = c.publishLoop(t.Context()) }()
	var first, later keptView
	rpc := linkTo(t.Context(), c, first.follow)
	s := promptcache.Stretches(key("a"), 1, "ab:3000,cd:500,ef:100")
	other := promptcache.Stretches(key("a"), 1, "ab:3000,cd:500,09:100")
	var g enginelink.Grant
	ask := enginelink.Acquire{Adapter: "a", ID: "1", Model: testModel, Stretches: s, Tokens: 3600, WaitMS: 100}
	assert.NilError(t, rpc.Call(t.Context(), enginelink.MethodAcquire, ask, &g))
	assert.Equal(t, first.kept(other), 0, "it has not been read")
	assert.NilError(t, rpc.Notify(t.Context(), enginelink.MethodBegun, enginelink.Pin{ID: "1"}))
	eventually(t, func() bool { return first.kept(other) == 3500 })
	linkTo(t.Context(), c, later.follow)
	eventually(t, func() bool { return later.kept(other) == 3500 })

	ask.ID, ask.Stretches = "2", other
	assert.NilError(t, rpc.Call(t.Context(), enginelink.MethodAcquire, ask, &g))
	c.mu.Lock()
	waiting := c.slots.waiting()
	assert.Equal(t, waiting.Total(), 100, "the rest of the second prompt")
	c.slots.remove(key("a"))
	c.published.announce()
	c.mu.Unlock()
	eventually(t, func() bool { return first.kept(other) == 0 && later.kept(other) == 0 })
}

// A controller that starts anew begins with the speed that a gateway knows.
func TestSpeedOutlivesTheController(t *testing.T) {
	c := newTestController(t, newFakeEngine(testSlots))
	told := readspeed.Speed{Base: 7 * time.Millisecond, PerToken: 9 * time.Microsecond}
	rpc := linkTo(t.Context(), c, nil)
	assert.NilError(t, rpc.Notify(t.Context(), enginelink.MethodHello, enginelink.Hello{Box: "g", Speed: told}))
	eventually(t, func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.status().Speed == told
	})
}
