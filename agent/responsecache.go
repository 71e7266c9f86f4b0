package agent

import (
	"context"
	"sync"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/wire"
)

const (
	// cacheEntryOverhead is added to the body size of each cached response.
	cacheEntryOverhead = 1 << 10
	// maxCachedBytes bounds the cached responses of at-most-once requests.
	maxCachedBytes = 16 << 20
)

// cacheEntry is the cached response of one at-most-once request.
type cacheEntry struct {
	claim  sandbarrow.Claim
	done   chan struct{}
	id     sandbarrow.RequestID
	result wire.AttemptResult
	size   int // bytes counted for this entry; 0 while the request runs and after eviction
}

// responseCache stores the responses of at-most-once requests for retries. It evicts the oldest first.
type responseCache struct {
	mu    sync.Mutex
	bytes int
	byID  map[sandbarrow.RequestID]*cacheEntry
	order []*cacheEntry
}

func newResponseCache() *responseCache {
	return &responseCache{byID: map[sandbarrow.RequestID]*cacheEntry{}}
}

// begin records that a request is running. A later attempt replaces the entry of
// a refused one.
func (c *responseCache) begin(id sandbarrow.RequestID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if old := c.byID[id]; old != nil {
		c.drop(old)
	}
	c.byID[id] = &cacheEntry{done: make(chan struct{}), id: id}
}

// drop removes an entry. The caller holds mu.
func (c *responseCache) drop(k *cacheEntry) {
	c.bytes -= k.size
	k.size = 0
	if c.byID[k.id] == k {
		delete(c.byID, k.id)
	}
}

// put stores the response of a request that was recorded by begin.
func (c *responseCache) put(id sandbarrow.RequestID, claim sandbarrow.Claim, result wire.AttemptResult) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := c.byID[id]
	if k == nil {
		return
	}
	k.claim, k.result, k.size = claim, result, len(result.Body)+cacheEntryOverhead
	close(k.done)
	c.order = append(c.order, k)
	c.bytes += k.size
	for c.bytes > maxCachedBytes || c.order[0].size == 0 {
		c.drop(c.order[0])
		c.order = c.order[1:]
	}
}

// get waits for a request to finish and returns its response and claim. The last
// result is true if the response is cached under the caller's claim token.
func (c *responseCache) get(ctx context.Context, id sandbarrow.RequestID, token string) (wire.AttemptResult, sandbarrow.Claim, bool) {
	c.mu.Lock()
	k := c.byID[id]
	c.mu.Unlock()
	if k == nil {
		return wire.AttemptResult{}, sandbarrow.Claim{}, false
	}
	select {
	case <-k.done:
	case <-ctx.Done():
		return wire.AttemptResult{}, sandbarrow.Claim{}, false
	}
	return k.result, k.claim, k.claim.Token == token
}
