package controller

import (
	"context"
	"encoding/json"
	"net"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/enginelink"
	"sandbarrow.example/sandbarrow/wire"
)

// relayedMost is how many messages of other gateways wait for a slow link.
const relayedMost = 4

// orphanGrace is how long a use outlives its link.
const orphanGrace = 800 * time.Millisecond

// link is the connection of one gateway.
type link struct {
	// closed says that the uses of the link were released; guarded by the
	// controller's mu.
	closed     bool
	controller *Controller
	ctx        context.Context
	news       chan struct{}
	// relayed holds what other gateways tell this one.
	relayed chan json.RawMessage
	rpc     *jsonrpc2.Conn
	// uses is guarded by the controller's mu.
	uses map[sandbarrow.RequestID]*use
}

// Serve takes links until ctx ends.
func (c *Controller) Serve(ctx context.Context, listener net.Listener) error {
	return enginelink.Accept(ctx, listener, c.logger, c.serveLink)
}

func (c *Controller) serveLink(ctx context.Context, conn net.Conn) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	l := &link{controller: c, ctx: ctx, news: make(chan struct{}, 1), relayed: make(chan json.RawMessage, relayedMost), uses: map[sandbarrow.RequestID]*use{}}
	// The handler waits for l.rpc, which NewConn returns after it has begun to read.
	ready := make(chan struct{})
	l.rpc = jsonrpc2.NewConn(ctx, wire.NewStream(conn), wire.Handler(func(ctx context.Context, r *jsonrpc2.Request) (any, error) {
		<-ready
		return l.handle(ctx, r)
	}))
	close(ready)
	c.mu.Lock()
	c.links[l] = true
	c.published.announce()
	c.mu.Unlock()
	go enginelink.TellMarks(ctx, l.rpc, c.estate)
	go l.tellStatus(ctx)
	select {
	case <-l.rpc.DisconnectNotify():
	case <-ctx.Done():
		_ = l.rpc.Close()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.links, l)
	l.closed = true
	for id, u := range l.uses {
		c.orphan(id, u)
	}
	c.published.announce()
	c.rouse()
}

func (l *link) handle(_ context.Context, r *jsonrpc2.Request) (any, error) {
	c := l.controller
	switch r.Method {
	case enginelink.MethodAcquire:
		return wire.Later(l.rpc, r, func(q enginelink.Acquire) any { return l.acquire(&q) })
	case enginelink.MethodFetch:
		return enginelink.ServeFetch(l.rpc, r, c.estate)
	case enginelink.MethodHello:
		var h enginelink.Hello
		if err := wire.Decode(r, &h); err != nil {
			return nil, err
		}
		if h.Token > 0 {
			c.takeToken(h.Token, string(h.Box))
		}
		return nil, nil
	case enginelink.MethodListed:
		if r.Params != nil {
			c.relay(l, *r.Params)
		}
		return nil, nil
	case enginelink.MethodMark:
		var m enginelink.Mark
		if err := wire.Decode(r, &m); err != nil {
			return nil, err
		}
		go enginelink.TakeMark(l.ctx, l.rpc, c.estate, m, c.watchLead())
		return nil, nil
	case enginelink.MethodUsing:
		var q enginelink.Acquire
		if err := wire.Decode(r, &q); err != nil {
			return nil, err
		}
		l.adopt(&q)
		return nil, nil
	case enginelink.MethodBegun, enginelink.MethodDone:
		var u enginelink.Use
		if err := wire.Decode(r, &u); err != nil {
			return nil, err
		}
		l.note(u.ID, r.Method == enginelink.MethodDone)
		return nil, nil
	}
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: r.Method}
}

// note takes a word about a granted use.
func (l *link) note(id sandbarrow.RequestID, done bool) {
	c := l.controller
	c.mu.Lock()
	defer c.mu.Unlock()
	u := l.uses[id]
	if u == nil {
		u = c.orphans[id]
	}
	if u == nil {
		return
	}
	u.begun = true
	if done {
		delete(l.uses, id)
		delete(c.orphans, id)
		c.slots.release(c.now(), u)
		if len(c.slots.wants) > 0 {
			c.rouse()
		}
	}
	c.published.announce()
}

// acquire waits for the use of an adapter.
func (l *link) acquire(q *enginelink.Acquire) enginelink.Grant {
	c := l.controller
	u := &use{key: sandbarrow.AdapterKey{Adapter: q.Adapter, Model: q.Model}, tokens: q.Tokens}
	w, refusal := l.ask(q, u)
	if w == nil {
		c.metrics.refused(refusal.Refused)
		return refusal
	}
	if g, ok := l.await(w, time.Duration(q.WaitMS)*time.Millisecond); ok {
		return l.granted(q, u, g)
	}
	if l.loading(u.key) {
		if g, ok := l.await(w, enginelink.LoadPatience); ok {
			return l.granted(q, u, g)
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case g := <-w.grant: // it came meanwhile
		if g.Refused == "" {
			l.keep(q.ID, u)
		}
		return g
	default:
	}
	c.slots.withdraw(w)
	c.metrics.refused(enginelink.RefuseSlots)
	return enginelink.Grant{Refused: enginelink.RefuseSlots}
}

// await waits for a grant until a time has passed or the link ends.
func (l *link) await(w *waiter, patience time.Duration) (enginelink.Grant, bool) {
	timer := time.NewTimer(patience)
	defer timer.Stop()
	select {
	case g := <-w.grant:
		return g, true
	case <-timer.C:
	case <-l.ctx.Done():
	}
	return enginelink.Grant{}, false
}

// loading reports whether the engine brings an adapter already.
func (l *link) loading(key sandbarrow.AdapterKey) bool {
	c := l.controller
	c.mu.Lock()
	defer c.mu.Unlock()
	sl := c.slots.slots[key]
	return sl != nil && sl.state == enginelink.SlotLoading
}

func (l *link) granted(q *enginelink.Acquire, u *use, g enginelink.Grant) enginelink.Grant {
	c := l.controller
	c.mu.Lock()
	defer c.mu.Unlock()
	if g.Refused != "" {
		c.metrics.refused(g.Refused)
		return g
	}
	l.keep(q.ID, u)
	c.published.announce()
	return g
}

// keep notes a granted use, or releases it where the link has ended meanwhile.
// The caller holds the controller's mu.
func (l *link) keep(id sandbarrow.RequestID, u *use) {
	if l.closed {
		l.controller.slots.release(l.controller.now(), u)
		return
	}
	l.uses[id] = u
}

// adopt takes a use that was granted before this controller started.
func (l *link) adopt(q *enginelink.Acquire) {
	c := l.controller
	c.mu.Lock()
	defer c.mu.Unlock()
	if l.uses[q.ID] != nil {
		return
	}
	if u := c.orphans[q.ID]; u != nil {
		delete(c.orphans, q.ID)
		l.keep(q.ID, u)
		return
	}
	u := &use{begun: true, key: sandbarrow.AdapterKey{Adapter: q.Adapter, Model: q.Model}, tokens: q.Tokens}
	c.slots.hold(c.now(), u)
	l.keep(q.ID, u)
}

// ask queues a request, or refuses it at once; then the waiter is nil.
func (l *link) ask(q *enginelink.Acquire, u *use) (*waiter, enginelink.Grant) {
	c := l.controller
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.reported.Draining:
		return nil, enginelink.Grant{Refused: enginelink.RefuseDraining}
	case c.failedReports >= silentAfter:
		return nil, enginelink.Grant{Refused: enginelink.RefuseUnreachable}
	case !c.holdsModel(q.Model):
		return nil, enginelink.Grant{Refused: enginelink.RefuseNoModel}
	}
	if q.MostWaiting > 0 {
		if waiting := c.waitingTokens(); waiting > q.MostWaiting {
			return nil, enginelink.Grant{Refused: enginelink.RefuseBusy, Waiting: waiting}
		}
	}
	if q.Adapter == "" {
		w := &waiter{grant: make(chan enginelink.Grant, 1), use: u}
		u.granted = true
		w.grant <- enginelink.Grant{}
		return w, enginelink.Grant{}
	}
	w := c.slots.ask(c.now(), q, u)
	if !u.granted {
		c.rouse()
		c.published.announce()
	}
	return w, enginelink.Grant{}
}

// orphan keeps a use whose link has ended for a moment: the request may go on
// at the engine while its gateway links anew. The caller holds mu.
func (c *Controller) orphan(id sandbarrow.RequestID, u *use) {
	c.orphans[id] = u
	time.AfterFunc(orphanGrace, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.orphans[id] != u {
			return
		}
		delete(c.orphans, id)
		c.slots.release(c.now(), u)
		c.published.announce()
		c.rouse()
	})
}

func (c *Controller) holdsModel(m sandbarrow.BaseModelID) bool {
	for _, held := range c.reported.Models {
		if held.Model == m {
			return true
		}
	}
	return false
}

// wake makes the link send the status.
func (l *link) wake() {
	select {
	case l.news <- struct{}{}:
	default:
	}
}

// tellStatus sends the status at once, then each published one. One that is
// overtaken while the link is slow is left out.
func (l *link) tellStatus(ctx context.Context) {
	told := uint64(0)
	for ctx.Err() == nil {
		l.controller.mu.Lock()
		message, holds := l.controller.published.message(told)
		l.controller.mu.Unlock()
		if message != nil {
			if err := l.rpc.Notify(ctx, enginelink.MethodStatus, message); err != nil {
				return
			}
			told = holds
		}
		if !l.awaitNews(ctx) {
			return
		}
	}
}

// awaitNews passes on what other gateways tell until there is a status to send.
// It returns false when the link has ended.
func (l *link) awaitNews(ctx context.Context) bool {
	for {
		select {
		case <-l.news:
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
