package controller

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/jsonrpc2"
	"gotest.tools/v3/assert"

	"sandbarrow.example/sandbarrow/enginelink"
)

func TestPublisherTellsChangesAndHeartbeats(t *testing.T) {
	p := newPublisher()
	now := time.Now()
	assert.Assert(t, p.apply(now, enginelink.Status{Free: 1}))
	assert.Assert(t, !p.apply(now.Add(publishPause), enginelink.Status{Free: 1}))
	assert.Assert(t, p.apply(now.Add(publishPause), enginelink.Status{Free: 2}))
	assert.Assert(t, p.apply(now.Add(publishPause+enginelink.Heartbeat), enginelink.Status{Free: 2}))
}

// The statuses that a controller sends in a second must not grow with the
// number of gateways, however often its engine changes.
func TestStatusesOfManyGatewaysAreBounded(t *testing.T) {
	const gateways = 40
	c := newTestController(t, newFakeEngine(testSlots))
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = c.publishLoop(ctx) }()
	var sent atomic.Int64
	for range gateways {
		rpc := linkTo(ctx, c, func(r *jsonrpc2.Request) {
			if r.Method == enginelink.MethodStatus {
				sent.Add(1)
			}
		})
		defer rpc.Close()
	}
	eventually(t, func() bool { return sent.Load() >= gateways })
	began, before := time.Now(), sent.Load()
	for time.Since(began) < time.Second {
		c.mu.Lock()
		c.reported.Draining = !c.reported.Draining
		c.published.announce()
		c.mu.Unlock()
		time.Sleep(5 * time.Millisecond)
	}
	rate := float64(sent.Load()-before) / time.Since(began).Seconds()
	most := float64(time.Second/publishShare) + gateways
	assert.Assert(t, rate <= most, "%.0f statuses a second, at most %.0f", rate, most)
}
