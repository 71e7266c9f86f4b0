package controller

import (
	"context"
	"time"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/internal/pause"
)

const (
	// tokenKeyPrefix is the prefix of the keys whose revision is a fencing token.
	tokenKeyPrefix = "sandbarrow/token/"
	// tokenTimeout bounds one write for a token, and tokenPause is the pause after a failed
	// one. After a total power loss, a store that does not respond takes up to 2 s per
	// call.
	tokenTimeout = 700 * time.Millisecond
	tokenPause   = 150 * time.Millisecond
)

// tokenLoop obtains the first fencing token.
func (c *Controller) tokenLoop(ctx context.Context) error {
	for ctx.Err() == nil && c.currentToken() == 0 {
		c.renewToken(ctx)
		if c.currentToken() == 0 {
			pause.For(ctx, tokenPause)
		}
	}
	return nil
}

// renewToken writes the token's key. The store's revision of that write is the token. A
// write without a response is repeated, and its revision is newer still.
func (c *Controller) renewToken(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, tokenTimeout)
	defer cancel()
	revision, err := c.store.Commit(ctx, sandbarrow.Transaction{
		Put: map[string][]byte{tokenKeyPrefix + c.engine: []byte(c.box)},
	})
	if err != nil {
		c.logger.Warn("fencing token not obtained", "error", err.Error())
		return
	}
	c.raiseToken(sandbarrow.FencingToken(revision), "store")
}

// raiseToken raises the token. source names where the token came from: the store, or the
// box of a gateway.
func (c *Controller) raiseToken(t sandbarrow.FencingToken, source string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t <= c.token {
		return
	}
	c.token = t
	c.logger.Info("fencing token", "token", uint64(t), "source", source)
	c.wakeEngineLoop()
}

func (c *Controller) currentToken() sandbarrow.FencingToken {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.token
}
