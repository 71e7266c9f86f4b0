package agent

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/wire"
)

func TestResponseCacheEvictsOldest(t *testing.T) {
	c := newResponseCache()
	const n = 100_000
	for i := range n {
		id := sandbarrow.RequestID(fmt.Sprint(i))
		c.begin(id)
		c.put(id, sandbarrow.Claim{Token: "t"}, wire.AttemptResult{Body: []byte("short")})
	}
	assert.Assert(t, len(c.byID) <= maxCachedBytes/cacheEntryOverhead, "%d short responses are cached", len(c.byID))
	_, _, ok := c.get(t.Context(), "0", "t")
	assert.Assert(t, !ok, "the oldest entry is evicted first")
	result, _, ok := c.get(t.Context(), sandbarrow.RequestID(fmt.Sprint(n-1)), "t")
	assert.Assert(t, ok)
	assert.Equal(t, string(result.Body), "short")
	_, _, ok = c.get(t.Context(), sandbarrow.RequestID(fmt.Sprint(n-1)), "other")
	assert.Assert(t, !ok, "the response belongs to another claim")
}

func TestResponseCacheCountsRetriesOnce(t *testing.T) {
	c := newResponseCache()
	for range 100_000 {
		c.begin("a")
		c.put("a", sandbarrow.Claim{Token: "t"}, wire.AttemptResult{Body: []byte("short")})
	}
	assert.Equal(t, c.bytes, cacheEntryOverhead+len("short"))
	assert.Equal(t, len(c.order), 1)
	_, _, ok := c.get(t.Context(), "a", "t")
	assert.Assert(t, ok)
}

func TestResponseCacheWaitsForRunningRequest(t *testing.T) {
	c := newResponseCache()
	c.begin("a")
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	_, _, ok := c.get(ctx, "a", "t")
	assert.Assert(t, !ok, "the request is still running")
	time.AfterFunc(20*time.Millisecond, func() { c.put("a", sandbarrow.Claim{Token: "t"}, wire.AttemptResult{Status: 200}) })
	result, _, ok := c.get(t.Context(), "a", "t")
	assert.Assert(t, ok)
	assert.Equal(t, result.Status, 200)
}
