package agent

import (
	"context"
	"sync"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/wire"
)

const (
	// keptOverhead is counted for each kept answer beside its body.
	keptOverhead = 1 << 10
	// maxKeptBytes bounds the kept answers of once-only requests.
	maxKeptBytes = 16 << 20
)

// keptAnswer is the answer of one once-only request.
type keptAnswer struct {
	claim  sandbarrow.Claim
	done   chan struct{}
	id     sandbarrow.RequestID
	result wire.AttemptResult
	size   int // what it counts for, 0 before its end and after it was dropped
}

// answerCache keeps answers of once-only requests for repeats, oldest out first.
type answerCache struct {
	mu    sync.Mutex
	bytes int
	byID  map[sandbarrow.RequestID]*keptAnswer
	order []*keptAnswer
}

func newAnswerCache() *answerCache {
	return &answerCache{byID: map[sandbarrow.RequestID]*keptAnswer{}}
}

// begin notes that a request runs. A later attempt takes the place of one that
// was refused.
func (c *answerCache) begin(id sandbarrow.RequestID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if old := c.byID[id]; old != nil {
		c.drop(old)
	}
	c.byID[id] = &keptAnswer{done: make(chan struct{}), id: id}
}

// drop forgets an answer. The caller holds mu.
func (c *answerCache) drop(k *keptAnswer) {
	c.bytes -= k.size
	k.size = 0
	if c.byID[k.id] == k {
		delete(c.byID, k.id)
	}
}

// put keeps the answer of a request that began.
func (c *answerCache) put(id sandbarrow.RequestID, claim sandbarrow.Claim, result wire.AttemptResult) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := c.byID[id]
	if k == nil {
		return
	}
	k.claim, k.result, k.size = claim, result, len(result.Body)+keptOverhead
	close(k.done)
	c.order = append(c.order, k)
	c.bytes += k.size
	for c.bytes > maxKeptBytes || c.order[0].size == 0 {
		c.drop(c.order[0])
		c.order = c.order[1:]
	}
}

// get waits for the end of a request and returns its answer, if it is kept
// under the claim that the asker read.
func (c *answerCache) get(ctx context.Context, id sandbarrow.RequestID, token string) (wire.AttemptResult, sandbarrow.Claim, bool) {
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
