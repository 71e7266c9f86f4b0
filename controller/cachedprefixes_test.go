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

// cacheView is a gateway's mirror of the prompt cache, updated from the messages of a link.
type cacheView struct {
	mu     sync.Mutex
	mirror promptcache.Mirror
}

func (v *cacheView) apply(r *jsonrpc2.Request) {
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

func (v *cacheView) cachedTokens(w sandbarrow.WeightsVersion, s []promptcache.PromptPrefix) int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.mirror.CachedTokens(w, s)
}

func TestCachedPrefixesReportedToGateways(t *testing.T) {
	f := newFakeEngine(testSlots)
	f.models = []sandbarrow.BaseModelID{testModel}
	f.loaded[key("a")] = 1
	weights := sandbarrow.WeightsVersion{Adapter: 1, Model: testModelVersion}
	c := newTestController(t, f)
	step(t, c)
	go func() { _ = c.publishLoop(t.Context()) }()
	var first, later cacheView
	rpc := openLink(t.Context(), c, first.apply)
	prefixes := promptcache.PromptPrefixes(key("a"), "ab:3000,cd:500,ef:100")
	other := promptcache.PromptPrefixes(key("a"), "ab:3000,cd:500,09:100")
	var g enginelink.Grant
	request := enginelink.Acquire{Adapter: "a", ID: "1", Model: testModel, PromptPrefixes: prefixes, Tokens: 3600, WaitMS: 100}
	assert.NilError(t, rpc.Call(t.Context(), enginelink.MethodAcquire, request, &g))
	assert.Equal(t, first.cachedTokens(weights, other), 0, "the prompt has not been prefilled")
	assert.NilError(t, rpc.Notify(t.Context(), enginelink.MethodResponseStarted, enginelink.Pin{ID: "1"}))
	eventually(t, func() bool { return first.cachedTokens(weights, other) == 3500 })
	openLink(t.Context(), c, later.apply)
	eventually(t, func() bool { return later.cachedTokens(weights, other) == 3500 })

	request.ID, request.PromptPrefixes = "2", other
	assert.NilError(t, rpc.Call(t.Context(), enginelink.MethodAcquire, request, &g))
	c.mu.Lock()
	waiting := c.slots.waiting()
	assert.Equal(t, waiting.Total(), 100, "only the uncached rest of the second prompt")
	c.slots.remove(key("a"))
	c.published.markChanged()
	c.mu.Unlock()
	eventually(t, func() bool { return first.cachedTokens(weights, other) == 0 && later.cachedTokens(weights, other) == 0 })
}

// A restarted controller begins with the prefill speed that a gateway reports.
func TestPrefillSpeedSurvivesControllerRestart(t *testing.T) {
	c := newTestController(t, newFakeEngine(testSlots))
	reported := readspeed.Speed{Base: 7 * time.Millisecond, PerToken: 9 * time.Microsecond}
	rpc := openLink(t.Context(), c, nil)
	assert.NilError(t, rpc.Notify(t.Context(), enginelink.MethodHello, enginelink.Hello{Box: "g", Speed: reported}))
	eventually(t, func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.status().Speed == reported
	})
}

func TestCachedPrefixesBelongToWeightsThatRan(t *testing.T) {
	f := newFakeEngine(testSlots)
	f.models = []sandbarrow.BaseModelID{testModel}
	f.loaded[key("a")] = 2
	c := newTestController(t, f)
	step(t, c)
	rpc := openLink(t.Context(), c, nil)
	prefixes := promptcache.PromptPrefixes(key("a"), "ab:3000,cd:500,ef:100")
	cached := func(adapter sandbarrow.AdapterVersion, model sandbarrow.ModelVersion) int {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.slots.cached.CachedTokens(sandbarrow.WeightsVersion{Adapter: adapter, Model: model}, prefixes)
	}
	prefill := func(id sandbarrow.RequestID) enginelink.Grant {
		var g enginelink.Grant
		request := enginelink.Acquire{Adapter: "a", ID: id, Model: testModel, PromptPrefixes: prefixes, Tokens: 3600, Version: 1, WaitMS: 100}
		assert.NilError(t, rpc.Call(t.Context(), enginelink.MethodAcquire, request, &g))
		assert.NilError(t, rpc.Notify(t.Context(), enginelink.MethodResponseStarted, enginelink.Pin{ID: id}))
		assert.NilError(t, rpc.Notify(t.Context(), enginelink.MethodUnpin, enginelink.Pin{ID: id}))
		eventually(t, func() bool {
			c.mu.Lock()
			defer c.mu.Unlock()
			return c.slots.pins[key("a")] == 0
		})
		return g
	}
	g := prefill("1")
	assert.Equal(t, g.Weights(), sandbarrow.WeightsVersion{Adapter: 2, Model: testModelVersion})
	assert.Equal(t, cached(1, testModelVersion), 0, "the requested version did not run")
	assert.Equal(t, cached(2, testModelVersion), 3600)

	f.setAdapterVersion(key("a"), 3)
	step(t, c)
	assert.Equal(t, cached(2, testModelVersion), 0, "the adapter was replaced")
	prefill("2")
	assert.Equal(t, cached(3, testModelVersion), 3600)

	f.setModelVersion(testModelVersion + 1)
	step(t, c)
	assert.Equal(t, cached(3, testModelVersion), 0, "the base model was replaced")
	assert.Equal(t, prefill("3").ModelVersion, testModelVersion+1)
	assert.Equal(t, cached(3, testModelVersion+1), 3600)
}
