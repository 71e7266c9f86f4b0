package controller

import (
	"context"
	"testing"
	"time"

	"github.com/sourcegraph/jsonrpc2"
	"gotest.tools/v3/assert"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/enginelink"
)

// newPinnedController returns a controller whose engine holds the adapters a and b.
func newPinnedController(t *testing.T) *Controller {
	t.Helper()
	f := newFakeEngine(testSlots)
	f.models = []sandbarrow.BaseModelID{testModel}
	f.loaded[key("a")], f.loaded[key("b")] = 1, 1
	c := newTestController(t, f)
	step(t, c)
	return c
}

// openNumberedLink opens a link as the process of a gateway does, with the pins that it still has.
func openNumberedLink(t *testing.T, c *Controller, process sandbarrow.Incarnation, number enginelink.LinkNumber, pins ...enginelink.Acquire) *jsonrpc2.Conn {
	t.Helper()
	rpc := openLink(t.Context(), c, nil)
	hello := enginelink.Hello{Box: "g", Incarnation: process, Link: number}
	for _, q := range pins {
		hello.Pins = append(hello.Pins, q.ID)
	}
	assert.NilError(t, rpc.Notify(t.Context(), enginelink.MethodHello, hello))
	for _, q := range pins {
		assert.NilError(t, rpc.Notify(t.Context(), enginelink.MethodPinned, q))
	}
	return rpc
}

// roundTrip waits until the controller has handled all messages of a link so far.
func roundTrip(t *testing.T, rpc *jsonrpc2.Conn) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	assert.NilError(t, rpc.Call(ctx, enginelink.MethodEcho, nil, nil))
}

func pinRequest(id sandbarrow.RequestID, adapter sandbarrow.AdapterID) enginelink.Acquire {
	return enginelink.Acquire{Adapter: adapter, ID: id, Model: testModel, WaitMS: 100}
}

func acquirePin(t *testing.T, rpc *jsonrpc2.Conn, q enginelink.Acquire) {
	t.Helper()
	var g enginelink.Grant
	assert.NilError(t, rpc.Call(t.Context(), enginelink.MethodAcquire, q, &g))
	assert.Equal(t, g.Refused, enginelink.RefuseReason(""))
}

// A silent link must not keep the pins of requests that ended meanwhile, nor count the others twice.
func TestNewLinkSupersedesSilentOneOfItsProcess(t *testing.T) {
	c := newPinnedController(t)
	running, ended := pinRequest("1", "a"), pinRequest("2", "b")
	silent := openNumberedLink(t, c, "p", 1)
	acquirePin(t, silent, running)
	acquirePin(t, silent, ended)
	roundTrip(t, openNumberedLink(t, c, "p", 2, running))
	assert.Equal(t, c.pinsOn("a"), 1)
	assert.Equal(t, c.pinsOn("b"), 0, "the pin of a request that ended stays")
	assert.Equal(t, c.linkCount(), 1)
	time.Sleep(detachedPinGrace + 100*time.Millisecond)
	assert.Equal(t, c.pinsOn("a"), 1, "the request still runs")
	select {
	case <-silent.DisconnectNotify():
	case <-time.After(time.Second):
		t.Fatal("the silent connection is still open")
	}
}

func TestLinkOfAnotherProcessSupersedesNothing(t *testing.T) {
	for name, process := range map[string]sandbarrow.Incarnation{"another start": "q", "former build": ""} {
		t.Run(name, func(t *testing.T) {
			c := newPinnedController(t)
			acquirePin(t, openNumberedLink(t, c, process, 1), pinRequest("1", "a"))
			roundTrip(t, openNumberedLink(t, c, "p", 2))
			assert.Equal(t, c.linkCount(), 2)
			assert.Equal(t, c.pinsOn("a"), 1)
		})
	}
}

// The first message of an older link may arrive after that of a newer one.
func TestOlderLinkThatArrivesLateEndsItself(t *testing.T) {
	c := newPinnedController(t)
	q := pinRequest("1", "a")
	newer := openNumberedLink(t, c, "p", 2)
	acquirePin(t, newer, q)
	older := openLink(t.Context(), c, nil)
	late := pinRequest("2", "b")
	assert.NilError(t, older.Notify(t.Context(), enginelink.MethodHello, enginelink.Hello{Box: "g", Incarnation: "p", Link: 1, Pins: []sandbarrow.RequestID{late.ID}}))
	_ = older.Notify(t.Context(), enginelink.MethodPinned, late) // the link may have ended already
	select {
	case <-older.DisconnectNotify():
	case <-time.After(time.Second):
		t.Fatal("the older connection is still open")
	}
	roundTrip(t, newer)
	assert.Equal(t, c.linkCount(), 1)
	assert.Equal(t, c.pinsOn("a"), 1)
	assert.Equal(t, c.pinsOn("b"), 0)
}

// What an old connection still holds must not change the pins of the newer one.
func TestLateMessagesOfSupersededLinkAreIgnored(t *testing.T) {
	c := newPinnedController(t)
	q := pinRequest("1", "a")
	old := &link{controller: c, incarnation: "p", number: 1, cancel: func() {}, calls: map[sandbarrow.RequestID]*acquireCall{}, pins: map[sandbarrow.RequestID]*pin{}}
	c.mu.Lock()
	c.links[old] = true
	c.mu.Unlock()
	old.adopt(&q)
	newer := openNumberedLink(t, c, "p", 2, q)
	roundTrip(t, newer)
	old.applyProgress(q.ID, enginelink.MethodUnpin)
	old.adopt(&enginelink.Acquire{Adapter: "b", ID: "2", Model: testModel})
	assert.Equal(t, c.pinsOn("a"), 1, "an unpin on the old link ends the pin of the new one")
	assert.Equal(t, c.pinsOn("b"), 0)
	assert.NilError(t, newer.Notify(t.Context(), enginelink.MethodUnpin, enginelink.Pin{ID: q.ID}))
	roundTrip(t, newer)
	assert.Equal(t, c.pinsOn("a"), 0)
}

// The pins of a gateway whose box was lost keep their adapters for a bounded time only.
func TestLinkOfLostGatewayEnds(t *testing.T) {
	c := newPinnedController(t)
	lost := openNumberedLink(t, c, "p", 1)
	acquirePin(t, lost, pinRequest("1", "a"))
	c.checkLinks() // counts the messages so far
	for range maxQuietChecks - 1 {
		c.checkLinks()
	}
	assert.Equal(t, c.linkCount(), 1, "a box may be frozen for nearly as long")
	c.checkLinks()
	assert.Equal(t, c.linkCount(), 0)
	eventually(t, func() bool { return c.pinsOn("a") == 0 })
}

func TestLinkWithHeartbeatsStays(t *testing.T) {
	c := newPinnedController(t)
	rpc := openNumberedLink(t, c, "p", 1)
	for range 3 * maxQuietChecks {
		assert.NilError(t, rpc.Notify(t.Context(), enginelink.MethodHeartbeat, struct{}{}))
		roundTrip(t, rpc)
		c.checkLinks()
	}
	assert.Equal(t, c.linkCount(), 1)
}

// A gateway may be lost between the connection and its first message.
func TestLinkWithoutFirstMessageEnds(t *testing.T) {
	c := newPinnedController(t)
	openLink(t.Context(), c, nil)
	eventually(t, func() bool { return c.linkCount() == 1 })
	for range maxQuietChecks {
		c.checkLinks()
	}
	assert.Equal(t, c.linkCount(), 0)
}

// A gateway of a former build sends no heartbeats.
func TestQuietLinkOfFormerBuildStays(t *testing.T) {
	c := newPinnedController(t)
	acquirePin(t, openNumberedLink(t, c, "", 0), pinRequest("1", "a"))
	for range 3 * maxQuietChecks {
		c.checkLinks()
	}
	assert.Equal(t, c.linkCount(), 1)
	assert.Equal(t, c.pinsOn("a"), 1)
}
