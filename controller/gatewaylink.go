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
	"sandbarrow.example/sandbarrow/logging"
	"sandbarrow.example/sandbarrow/throttle"
	"sandbarrow.example/sandbarrow/wire"
)

// maxRelayed is the number of other gateways' messages that are queued for a slow link. A
// gateway that misses one reads the list from the store.
const maxRelayed = 4

// link is the connection of one gateway. It implements the protocol and owns the pins of
// the gateway's requests.
type link struct {
	// cancel ends ctx, and with it the link.
	cancel context.CancelFunc
	// closed reports that the link's pins were detached; guarded by the controller's mu.
	closed     bool
	controller *Controller
	ctx        context.Context
	// incarnation and number are those of the gateway's Hello; guarded by the controller's mu. A former
	// build names no incarnation.
	incarnation sandbarrow.Incarnation
	number      enginelink.LinkNumber
	// quiet counts the checks without a message of the gateway.
	quiet wire.Quiet
	// limitsDue signals that the upstreams' limits have changed.
	limitsDue chan struct{}
	statusDue chan struct{}
	// relayQueue holds messages of other gateways to pass on to this one.
	relayQueue chan json.RawMessage
	rpc        *jsonrpc2.Conn
	// stream is the stream that rpc reads and writes.
	stream *wire.Stream
	// calls holds the acquire calls without a reply, guarded by the controller's mu.
	calls map[sandbarrow.RequestID]*acquireCall
	// pins is guarded by the controller's mu.
	pins map[sandbarrow.RequestID]*pin
	// acceptsChanges reports that the gateway understands statuses that contain only
	// changes; guarded by the controller's mu.
	acceptsChanges bool
}

// Serve accepts links of gateways until ctx is done.
func (c *Controller) Serve(ctx context.Context, listener net.Listener) error {
	return wire.Accept(ctx, listener, c.logger, c.serveLink)
}

// serveLink serves one connection until it closes. The link's pins are then detached.
func (c *Controller) serveLink(ctx context.Context, conn net.Conn) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	l := &link{
		calls: map[sandbarrow.RequestID]*acquireCall{}, cancel: cancel, controller: c, ctx: ctx, limitsDue: make(chan struct{}, 1), statusDue: make(chan struct{}, 1), relayQueue: make(chan json.RawMessage, maxRelayed),
		pins: map[sandbarrow.RequestID]*pin{}, stream: wire.NewStreamSize(conn, enginelink.ReadBufferBytes),
	}
	l.stream.ServeDirectly(enginelink.MethodHeartbeat, func([]byte) error { return nil })
	// The handler waits until l.rpc is set, because NewConn starts reading before it
	// returns.
	ready := make(chan struct{})
	l.rpc = jsonrpc2.NewConn(ctx, l.stream, wire.Handler(func(ctx context.Context, r *jsonrpc2.Request) (any, error) {
		<-ready
		return l.handle(ctx, r)
	}), jsonrpc2.SetLogger(logging.NewPrinter(c.logger, "jsonrpc2")))
	close(ready)
	c.mu.Lock()
	c.links[l] = true
	c.unreported.linkOpened(c.now(), len(c.links))
	c.published.markChanged()
	c.mu.Unlock()
	go enginelink.PublishWatermarks(ctx, l.rpc, c.estate)
	go l.sendStatuses(ctx)
	go l.sendCrashes(ctx, enginelink.MethodCrashes, c.crashes)
	go l.sendCrashes(ctx, enginelink.MethodPartCrashes, c.partCrashes)
	go l.sendLimits(ctx)
	if c.leader != nil {
		go l.sendLeads(ctx)
	}
	select {
	case <-l.rpc.DisconnectNotify():
	case <-ctx.Done():
		_ = l.rpc.Close()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeLink(l)
}

// handle processes one message of the gateway.
func (l *link) handle(_ context.Context, r *jsonrpc2.Request) (any, error) {
	c := l.controller
	switch r.Method {
	case enginelink.MethodAcquire:
		var q enginelink.Acquire
		if err := wire.Decode(r, &q); err != nil {
			return nil, err
		}
		// The call is registered before the next message is read, because that message may
		// cancel it.
		a := l.addCall(q.ID)
		go func() { _ = l.rpc.Reply(context.Background(), r.ID, l.acquire(&q, a)) }() // a closed link needs no reply
		return nil, wire.ErrDeferredReply
	case enginelink.MethodCrashes:
		return nil, l.mergeCrashes(r, c.crashes)
	case enginelink.MethodPartCrashes:
		return nil, l.mergeCrashes(r, c.partCrashes)
	case enginelink.MethodEcho, enginelink.MethodHeartbeat:
		return nil, nil
	case enginelink.MethodFetch:
		return enginelink.ServeFetch(l.rpc, r, c.estate)
	case enginelink.MethodHello:
		var h enginelink.Hello
		if err := wire.Decode(r, &h); err != nil {
			return nil, err
		}
		c.applyHello(l, &h)
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

// handleLimit processes a message about the limits of upstreams.
func (l *link) handleLimit(r *jsonrpc2.Request) (any, error) {
	reply, changed, handled, err := l.controller.limits.Handle(r)
	if !handled {
		return l.handlePermit(r)
	}
	if changed != nil {
		l.controller.broadcastLimit(l, changed)
	}
	return reply, err
}

// handleQuota processes a message for the coordinator of loads, the keeper of streams' origins or the
// leader of quota shards.
func (l *link) handleQuota(r *jsonrpc2.Request) (any, error) {
	if reply, handled, err := l.controller.handleDemand(r); handled {
		return reply, err
	}
	if reply, handled, err := l.controller.origins.Handle(r); handled {
		return reply, err
	}
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

// applyHello applies what a gateway knows about this controller's engine from before a
// restart.
func (c *Controller) applyHello(l *link, h *enginelink.Hello) {
	if h.Token > 0 {
		c.raiseToken(h.Token, string(h.Box))
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.supersedeLinks(l, h)
	l.acceptsChanges = h.Changes
	c.slots.curve.adopt(h.EventTimes)
	c.slots.prefills.speed.Adopt(h.Speed)
}

// sendCrashes sends the gateway the other gateways' reports of requests, or of parts of prompts, that
// crash upstreams.
func (l *link) sendCrashes(ctx context.Context, method string, crashes *crash.Log) {
	crashes.Follow(ctx, l, func(records []crash.Record) error {
		return l.rpc.Notify(ctx, method, enginelink.Crashes{Records: records})
	})
}

// mergeCrashes merges the records that the gateway has sent.
func (l *link) mergeCrashes(r *jsonrpc2.Request, crashes *crash.Log) error {
	var m enginelink.Crashes
	if err := wire.Decode(r, &m); err != nil {
		return err
	}
	crashes.Merge(l, m.Records)
	return nil
}

// broadcastLimit makes all links except one send an upstream's changed limit.
func (c *Controller) broadcastLimit(except *link, r *throttle.Record) {
	c.logger.Info("limit of an upstream", "upstream", string(r.Instance), "rate", float64(r.Rate), "ended", r.Ended, "age_ms", r.AgeMS)
	c.mu.Lock()
	defer c.mu.Unlock()
	for l := range c.links {
		if l != except {
			l.notifyLimits()
		}
	}
}

// notifyLimits makes the link send the upstreams' limits.
func (l *link) notifyLimits() {
	select {
	case l.limitsDue <- struct{}{}:
	default:
	}
}

// sendLimits sends the gateway the limits that other gateways have reported, first on
// connection and again after each change. The gateway then knows a limit before an
// upstream's response names it.
func (l *link) sendLimits(ctx context.Context) {
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

// sendLeads sends which quota shards this process leads, first on connection and again
// after each change.
func (l *link) sendLeads(ctx context.Context) {
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

// sendStatuses sends the status immediately, then each published one. On a slow link,
// superseded statuses are skipped.
func (l *link) sendStatuses(ctx context.Context) {
	sent, cacheChange := uint64(0), uint64(0)
	for ctx.Err() == nil {
		l.controller.mu.Lock()
		message, contentVersion := l.controller.published.message(sent, l.acceptsChanges)
		l.controller.mu.Unlock()
		if message != nil {
			if err := l.stream.Send(message); err != nil {
				return
			}
			sent = contentVersion
		}
		if cacheChange = l.sendCacheChanges(ctx, cacheChange); cacheChange == 0 {
			return
		}
		if !l.relayUntilStatus(ctx) {
			return
		}
	}
}

// sendCacheChanges sends the changes of the engine's cached prompt prefixes after a change
// number. It returns the next number, or 0 if the link has closed.
func (l *link) sendCacheChanges(ctx context.Context, after uint64) uint64 {
	c := l.controller
	c.mu.Lock()
	changes, all, next := c.slots.cached.Changes(after)
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

// relayUntilStatus passes on the messages of other gateways until there is a status to
// send. It returns false if the link has closed.
func (l *link) relayUntilStatus(ctx context.Context) bool {
	for {
		select {
		case <-l.statusDue:
			return true
		case m := <-l.relayQueue:
			if err := l.rpc.Notify(ctx, enginelink.MethodListed, m); err != nil {
				return false
			}
		case <-ctx.Done():
			return false
		}
	}
}

// relay passes a gateway's message on to all others. A gateway with a slow link misses the
// message and queries the store itself.
func (c *Controller) relay(from *link, m json.RawMessage) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for l := range c.links {
		if l == from {
			continue
		}
		select {
		case l.relayQueue <- m:
		default:
		}
	}
}
