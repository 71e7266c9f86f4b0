package controller

import (
	"context"
	"encoding/json"
	"net"
	"slices"

	"github.com/sourcegraph/jsonrpc2"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/crash"
	"sandbarrow.example/sandbarrow/enginelink"
	"sandbarrow.example/sandbarrow/throttle"
	"sandbarrow.example/sandbarrow/wire"
)

// relayedMost is how many messages of other gateways wait for a slow link: a gateway that misses
// one reads the list itself.
const relayedMost = 4

// link is the connection of one gateway: it speaks the protocol and owns the pins
// of its requests.
type link struct {
	// closed says that the pins of the link became orphans; guarded by the
	// controller's mu.
	closed     bool
	controller *Controller
	ctx        context.Context
	// limitsDue is sent to when upstreams say something else of their limits.
	limitsDue chan struct{}
	statusDue chan struct{}
	// relayed holds the messages of other gateways that this one is to get.
	relayed chan json.RawMessage
	rpc     *jsonrpc2.Conn
	// stream is what rpc reads and writes.
	stream *wire.Stream
	// calls are the acquires without an answer, guarded by the controller's mu.
	calls map[sandbarrow.RequestID]*acquireCall
	// pins is guarded by the controller's mu.
	pins map[sandbarrow.RequestID]*pin
	// readsChanges says that the gateway reads statuses that carry changes; guarded by the
	// controller's mu.
	readsChanges bool
}

// Serve accepts links of gateways until ctx ends.
func (c *Controller) Serve(ctx context.Context, listener net.Listener) error {
	return enginelink.Accept(ctx, listener, c.logger, c.serveLink)
}

// serveLink works over one connection until it ends. Its pins become orphans then.
func (c *Controller) serveLink(ctx context.Context, conn net.Conn) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	l := &link{
		calls: map[sandbarrow.RequestID]*acquireCall{}, controller: c, ctx: ctx, limitsDue: make(chan struct{}, 1), statusDue: make(chan struct{}, 1), relayed: make(chan json.RawMessage, relayedMost),
		pins: map[sandbarrow.RequestID]*pin{}, stream: wire.NewStreamSize(conn, enginelink.ReadBufferBytes),
	}
	// The handler waits for l.rpc, which NewConn returns after it has begun to read.
	ready := make(chan struct{})
	l.rpc = jsonrpc2.NewConn(ctx, l.stream, wire.Handler(func(ctx context.Context, r *jsonrpc2.Request) (any, error) {
		<-ready
		return l.handle(ctx, r)
	}))
	close(ready)
	c.mu.Lock()
	c.links[l] = true
	c.unreported.linked(c.now(), len(c.links))
	c.published.announce()
	c.mu.Unlock()
	go enginelink.PublishWatermarks(ctx, l.rpc, c.estate)
	go l.sendStatuses(ctx)
	go l.tellCrashes(ctx)
	go l.tellLimits(ctx)
	if c.leader != nil {
		go l.announceLeads(ctx)
	}
	select {
	case <-l.rpc.DisconnectNotify():
	case <-ctx.Done():
		_ = l.rpc.Close()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.links, l)
	l.closed = true
	for id, p := range l.pins {
		c.orphan(id, p)
	}
	c.published.announce()
	c.wakeEngineLoop()
}

// handle serves one message of the gateway.
func (l *link) handle(_ context.Context, r *jsonrpc2.Request) (any, error) {
	c := l.controller
	switch r.Method {
	case enginelink.MethodAcquire:
		var q enginelink.Acquire
		if err := wire.Decode(r, &q); err != nil {
			return nil, err
		}
		// It is kept before the next message, which may end it.
		a := l.keepCall(q.ID)
		go func() { _ = l.rpc.Reply(context.Background(), r.ID, l.acquire(&q, a)) }() // a gateway that left needs no reply
		return nil, wire.ErrLater
	case enginelink.MethodCrashes:
		var m enginelink.Crashes
		if err := wire.Decode(r, &m); err != nil {
			return nil, err
		}
		c.crashes.Merge(l, m.Records)
		return nil, nil
	case enginelink.MethodFetch:
		return enginelink.ServeFetch(l.rpc, r, c.estate)
	case enginelink.MethodHello:
		var h enginelink.Hello
		if err := wire.Decode(r, &h); err != nil {
			return nil, err
		}
		c.greet(l, &h)
		return nil, nil
	case enginelink.MethodListed:
		if r.Params != nil {
			c.relay(l, *r.Params)
		}
		return nil, nil
	case enginelink.MethodWatermark:
		var m enginelink.Watermark
		if err := wire.Decode(r, &m); err != nil {
			return nil, err
		}
		go enginelink.FollowWatermark(l.ctx, l.rpc, c.estate, m, c.watchLead())
		return nil, nil
	case enginelink.MethodPinned:
		var q enginelink.Acquire
		if err := wire.Decode(r, &q); err != nil {
			return nil, err
		}
		l.adopt(&q)
		return nil, nil
	case enginelink.MethodResponseStarted, enginelink.MethodUnpin, enginelink.MethodPaused:
		var p enginelink.Pin
		if err := wire.Decode(r, &p); err != nil {
			return nil, err
		}
		l.applyProgress(p.ID, r.Method)
		return nil, nil
	}
	return l.handleLimit(r)
}

// handleLimit serves a message about the limits of upstreams.
func (l *link) handleLimit(r *jsonrpc2.Request) (any, error) {
	answer, changed, handled, err := l.controller.limits.Handle(r)
	if !handled {
		return l.handleQuota(r)
	}
	if changed != nil {
		l.controller.announceLimit(l, changed)
	}
	return answer, err
}

// handleQuota serves a message to the leader of quota shards.
func (l *link) handleQuota(r *jsonrpc2.Request) (any, error) {
	lead := l.controller.leader
	switch {
	case lead == nil:
	case r.Method == enginelink.MethodLead:
		var q enginelink.Lead
		if err := wire.Decode(r, &q); err != nil {
			return nil, err
		}
		lead.Nominate(q)
		return nil, nil
	case r.Method == enginelink.MethodAcquireQuota:
		var q enginelink.AcquireQuota
		if err := wire.Decode(r, &q); err != nil {
			return nil, err
		}
		return lead.AcquireQuota(&q), nil
	}
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: r.Method}
}

// greet takes what a gateway knows of this controller's engine from before a restart.
func (c *Controller) greet(l *link, h *enginelink.Hello) {
	if h.Token > 0 {
		c.raiseToken(h.Token, string(h.Box))
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	l.readsChanges = h.Changes
	c.slots.reading.speed.Adopt(h.Speed)
}

// tellCrashes tells the gateway what the others have told of requests under which upstreams
// end.
func (l *link) tellCrashes(ctx context.Context) {
	l.controller.crashes.Follow(ctx, l, func(records []crash.Record) error {
		return l.rpc.Notify(ctx, enginelink.MethodCrashes, enginelink.Crashes{Records: records})
	})
}

// announceLimit makes all links but one tell what an upstream says of its limit.
func (c *Controller) announceLimit(except *link, r *throttle.Record) {
	c.logger.Info("limit of an upstream", "upstream", string(r.Instance), "rate", float64(r.Rate), "ended", r.Ended, "age_ms", r.AgeMS)
	c.mu.Lock()
	defer c.mu.Unlock()
	for l := range c.links {
		if l != except {
			l.notifyLimits()
		}
	}
}

// notifyLimits makes the link tell what upstreams say of their limits.
func (l *link) notifyLimits() {
	select {
	case l.limitsDue <- struct{}{}:
	default:
	}
}

// tellLimits tells the gateway what the others have told of upstreams' limits, at once and
// whenever that changes, so that it knows them before it is answered itself.
func (l *link) tellLimits(ctx context.Context) {
	for ctx.Err() == nil {
		records := l.controller.limits.Records()
		if len(records) > 0 && l.rpc.Notify(ctx, enginelink.MethodLimit, enginelink.Limits{Records: records}) != nil {
			return
		}
		select {
		case <-l.limitsDue:
		case <-ctx.Done():
		}
	}
}

// announceLeads sends which quota shards this process leads, whenever that changes.
func (l *link) announceLeads(ctx context.Context) {
	for ctx.Err() == nil {
		leads, changed := l.controller.leader.LedShards()
		if err := l.rpc.Notify(ctx, enginelink.MethodLedShards, leads); err != nil {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// notifyStatus makes the link send the status.
func (l *link) notifyStatus() {
	select {
	case l.statusDue <- struct{}{}:
	default:
	}
}

// sendStatuses sends the status at once, then each published one. One that is
// overtaken while the link is slow is left out.
func (l *link) sendStatuses(ctx context.Context) {
	sent, keptAt := uint64(0), uint64(0)
	for ctx.Err() == nil {
		l.controller.mu.Lock()
		message, holds := l.controller.published.message(sent, l.readsChanges)
		l.controller.mu.Unlock()
		if message != nil {
			if err := l.stream.Send(message); err != nil {
				return
			}
			sent = holds
		}
		if keptAt = l.sendKept(ctx, keptAt); keptAt == 0 {
			return
		}
		if !l.relayUntilStatus(ctx) {
			return
		}
	}
}

// sendKept reports what changed of the prompt parts that the engine keeps since a
// number, and returns the next number, or 0 when the link has ended.
func (l *link) sendKept(ctx context.Context, after uint64) uint64 {
	c := l.controller
	c.mu.Lock()
	changes, all, next := c.slots.kept.Changes(after)
	message := enginelink.CachedPrompts{Complete: all, Changes: slices.Clone(changes)}
	c.mu.Unlock()
	if len(changes) == 0 && !all {
		return next
	}
	if l.rpc.Notify(ctx, enginelink.MethodCachedPrompts, message) != nil {
		return 0
	}
	return next
}

// relayUntilStatus passes on the messages of other gateways until there is a status
// to send. It returns false when the link has ended.
func (l *link) relayUntilStatus(ctx context.Context) bool {
	for {
		select {
		case <-l.statusDue:
			return true
		case m := <-l.relayed:
			if err := l.rpc.Notify(ctx, enginelink.MethodListed, m); err != nil {
				return false
			}
		case <-ctx.Done():
			return false
		}
	}
}

// relay passes a gateway's message on to all others. One whose link is slow
// misses it, and asks the store itself.
func (c *Controller) relay(from *link, m json.RawMessage) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for l := range c.links {
		if l == from {
			continue
		}
		select {
		case l.relayed <- m:
		default:
		}
	}
}
