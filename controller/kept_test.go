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
	if r.Method != enginelink.MethodCachedPrompts {
		return
	}
	var k enginelink.CachedPrompts
	if json.Unmarshal(*r.Params, &k) != nil {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.mirror.Apply(k.Changes, k.Complete)
}

func (v *keptView) kept(w sandbarrow.WeightsVersion, s []promptcache.PromptPrefix) int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.mirror.CachedTokens(w, s)
}

func TestKeptPartsAreReported(t *testing.T) {
	f := newFakeEngine(testSlots)
	f.models = []sandbarrow.BaseModelID{testModel}
	f.loaded[key("a")] = 1
	runs := sandbarrow.WeightsVersion{Adapter: 1, Model: testModelVersion}
	c := newTestController(t, f)
	step(t, c)
	go func() { _ = c.publishLoop(t.Context()) }()
	var first, later keptView
	rpc := linkTo(t.Context(), c, first.follow)
	s := promptcache.PromptPrefixes(key("a"), "ab:3000,cd:500,ef:100")
	other := promptcache.PromptPrefixes(key("a"), "ab:3000,cd:500,09:100")
	var g enginelink.Grant
	ask := enginelink.Acquire{Adapter: "a", ID: "1", Model: testModel, PromptPrefixes: s, Tokens: 3600, WaitMS: 100}
	assert.NilError(t, rpc.Call(t.Context(), enginelink.MethodAcquire, ask, &g))
	assert.Equal(t, first.kept(runs, other), 0, "it has not been read")
	assert.NilError(t, rpc.Notify(t.Context(), enginelink.MethodResponseStarted, enginelink.Pin{ID: "1"}))
	eventually(t, func() bool { return first.kept(runs, other) == 3500 })
	linkTo(t.Context(), c, later.follow)
	eventually(t, func() bool { return later.kept(runs, other) == 3500 })

	ask.ID, ask.PromptPrefixes = "2", other
	assert.NilError(t, rpc.Call(t.Context(), enginelink.MethodAcquire, ask, &g))
	c.mu.Lock()
	waiting := c.slots.waiting()
	assert.Equal(t, waiting.Total(), 100, "the rest of the second prompt")
	c.slots.remove(key("a"))
	c.published.announce()
	c.mu.Unlock()
	eventually(t, func() bool { return first.kept(runs, other) == 0 && later.kept(runs, other) == 0 })
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

func TestKeptPartsAreOfTheWeightsThatRan(t *testing.T) {
	f := newFakeEngine(testSlots)
	f.models = []sandbarrow.BaseModelID{testModel}
	f.loaded[key("a")] = 2
	c := newTestController(t, f)
	step(t, c)
	rpc := linkTo(t.Context(), c, nil)
	s := promptcache.PromptPrefixes(key("a"), "ab:3000,cd:500,ef:100")
	kept := func(adapter sandbarrow.AdapterVersion, model sandbarrow.ModelVersion) int {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.slots.kept.CachedTokens(sandbarrow.WeightsVersion{Adapter: adapter, Model: model}, s)
	}
	read := func(id sandbarrow.RequestID) enginelink.Grant {
		var g enginelink.Grant
		ask := enginelink.Acquire{Adapter: "a", ID: id, Model: testModel, PromptPrefixes: s, Tokens: 3600, Version: 1, WaitMS: 100}
		assert.NilError(t, rpc.Call(t.Context(), enginelink.MethodAcquire, ask, &g))
		assert.NilError(t, rpc.Notify(t.Context(), enginelink.MethodResponseStarted, enginelink.Pin{ID: id}))
		assert.NilError(t, rpc.Notify(t.Context(), enginelink.MethodUnpin, enginelink.Pin{ID: id}))
		eventually(t, func() bool {
			c.mu.Lock()
			defer c.mu.Unlock()
			return c.slots.pins[key("a")] == 0
		})
		return g
	}
	g := read("1")
	assert.Equal(t, g.Weights(), sandbarrow.WeightsVersion{Adapter: 2, Model: testModelVersion})
	assert.Equal(t, kept(1, testModelVersion), 0, "the version that was asked for")
	assert.Equal(t, kept(2, testModelVersion), 3600)

	f.replace(key("a"), 3)
	step(t, c)
	assert.Equal(t, kept(2, testModelVersion), 0, "the adapter was replaced")
	read("2")
	assert.Equal(t, kept(3, testModelVersion), 3600)

	f.renewModel(testModelVersion + 1)
	step(t, c)
	assert.Equal(t, kept(3, testModelVersion), 0, "the base model has another version")
	assert.Equal(t, read("3").ModelVersion, testModelVersion+1)
	assert.Equal(t, kept(3, testModelVersion+1), 3600)
}
