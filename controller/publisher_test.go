package controller

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/jsonrpc2"
	"gotest.tools/v3/assert"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/enginelink"
	"sandbarrow.example/sandbarrow/readspeed"
)

func TestPublisherTellsChangesAndHeartbeats(t *testing.T) {
	p := newPublisher()
	now := time.Now()
	assert.Assert(t, p.apply(now, enginelink.Status{Free: 1}))
	assert.Assert(t, !p.apply(now.Add(publishPause), enginelink.Status{Free: 1}))
	assert.Assert(t, p.apply(now.Add(publishPause), enginelink.Status{Free: 2}))
	assert.Assert(t, p.apply(now.Add(publishPause+enginelink.HeartbeatInterval), enginelink.Status{Free: 2}))
}

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

func TestPublisherSendsChanges(t *testing.T) {
	held := func(first int) enginelink.Status {
		s := enginelink.Status{Free: 1, Gateways: 100, Instance: "i-7f3a91c2", Models: []sandbarrow.BaseModelID{testModel}, Running: 9, Speed: readspeed.Prior, WaitingTokens: 5000}
		for n := range 6 {
			s.Slots = append(s.Slots, enginelink.SlotStatus{Adapter: sandbarrow.AdapterID(fmt.Sprint("a", first+n)), Model: testModel, State: enginelink.SlotLoaded, Version: 1})
		}
		return s
	}
	p := newPublisher()
	now := time.Now()
	p.apply(now, held(1000))
	first, one := p.message(0, true)
	p.apply(now, held(1001))
	changes, two := p.message(one, true)
	full, _ := p.message(one, false)
	assert.Equal(t, two, one+1)
	assert.Assert(t, len(changes)*3 < len(full)*2, "%d and %d bytes", len(changes), len(full))
	p.apply(now, held(1002))
	missed, three := p.message(one, true)
	assert.Equal(t, three, two+1)
	assert.Equal(t, len(missed), len(full))
	brief, _ := p.message(three, true)
	assert.Assert(t, len(brief) < len(changes))
	t.Logf("first %d, full %d, changes %d, brief %d bytes", len(first), len(full), len(changes), len(brief))
}

// However many gateways are linked, statuses come as often as heartbeats must.
func TestManyGatewaysGetHeartbeatsInTime(t *testing.T) {
	for _, gateways := range []int{1, 100, 300, 4000} {
		assert.Assert(t, publishEvery(gateways)+enginelink.HeartbeatInterval < enginelink.HeartbeatTimeout, "%d gateways", gateways)
	}
}
