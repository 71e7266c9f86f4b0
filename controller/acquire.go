package controller

import (
	"time"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/enginelink"
)

// keepCall keeps that a gateway has asked for a pin.
func (l *link) keepCall(id sandbarrow.RequestID) *acquireCall {
	l.controller.mu.Lock()
	defer l.controller.mu.Unlock()
	a := &acquireCall{}
	l.calls[id] = a
	return a
}

// acquire waits for a pin on an adapter. It waits for as long as the gateway says
// for the load to begin; once the adapter is loading or loaded, a while longer.
func (l *link) acquire(q *enginelink.Acquire, a *acquireCall) enginelink.Grant {
	c := l.controller
	p := &pin{key: sandbarrow.AdapterKey{Adapter: q.Adapter, Model: q.Model}, priority: q.Priority, stretches: q.PromptPrefixes, tokens: q.Tokens}
	w, refusal := l.enqueue(q, p, a)
	if w == nil {
		c.metrics.refused(refusal.Refused)
		return refusal
	}
	if g, ok := l.waitForGrant(w, time.Duration(q.WaitMS)*time.Millisecond); ok {
		return l.granted(q, p, g, a)
	}
	if l.comesSoon(p) {
		if g, ok := l.waitForGrant(w, enginelink.ExtraLoadWait); ok {
			return l.granted(q, p, g, a)
		}
	}
	return l.giveUp(q, w, a)
}

// enqueue queues a request, or refuses it at once; then the pending request is nil.
func (l *link) enqueue(q *enginelink.Acquire, p *pin, a *acquireCall) (*pendingRequest, enginelink.Grant) {
	c := l.controller
	c.mu.Lock()
	defer c.mu.Unlock()
	if a.left {
		return nil, enginelink.Grant{Refused: enginelink.RefuseCanceled}
	}
	if refusal, refused := c.refuseAtOnce(q); refused {
		delete(l.calls, q.ID)
		return nil, refusal
	}
	// A gateway that lags must not get a version that is known to be old.
	q.Version = max(q.Version, c.estate.View().MinVersion(p.key))
	w := c.slots.acquire(c.now(), q, p)
	a.request = w
	if !p.granted {
		c.wakeEngineLoop()
		c.published.announce()
	}
	return w, enginelink.Grant{}
}

// refuseAtOnce decides which requests are not queued: those that the engine can't
// serve, and those for which more prompts wait here than their gateway allows, so
// that it chooses again by this controller's own count.
//
// Inputs: the engine's last report (0.25 s old at most, 15 ms while it loads), and
// the prompt tokens that wait now. The caller holds mu.
func (c *Controller) refuseAtOnce(q *enginelink.Acquire) (enginelink.Grant, bool) {
	switch {
	case c.reported.Draining:
		return enginelink.Grant{Refused: enginelink.RefuseDraining}, true
	case c.failedReports >= unreachableAfter:
		return enginelink.Grant{Refused: enginelink.RefuseUnreachable}, true
	case !c.holdsModel(q.Model):
		return enginelink.Grant{Refused: enginelink.RefuseNoModel}, true
	case c.now().Before(c.backoffUntil) && c.slots.needsOrder(sandbarrow.AdapterKey{Adapter: q.Adapter, Model: q.Model}, q.Version):
		return enginelink.Grant{Refused: enginelink.RefuseBackoff}, true
	case q.Instance != "" && c.instance != "" && !q.Instance.Matches(c.instance):
		// The engine itself would refuse the request, after a load for nothing, and the
		// gateway's next attempt would take a retry from its budget.
		return enginelink.Grant{Refused: enginelink.RefuseInstance}, true
	}
	if q.MaxWaitingTokens > 0 {
		if waiting := c.slots.waiting(); waiting.Ahead(q.Priority) > q.MaxWaitingTokens {
			return enginelink.Grant{Refused: enginelink.RefuseBusy, Waiting: waiting.Total(), WaitingByPriority: &waiting}, true
		}
	}
	return enginelink.Grant{}, false
}

// holdsModel reports whether the engine holds a base model. The caller holds mu.
func (c *Controller) holdsModel(m sandbarrow.BaseModelID) bool {
	for _, held := range c.reported.Models {
		if held.Model == m {
			return true
		}
	}
	return false
}

// waitForGrant waits for a grant until a time has passed or the link ends.
func (l *link) waitForGrant(w *pendingRequest, patience time.Duration) (enginelink.Grant, bool) {
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

// comesSoon reports whether the engine is loading the adapter of a pin, or has it and only
// reads other prompts first.
func (l *link) comesSoon(p *pin) bool {
	c := l.controller
	c.mu.Lock()
	defer c.mu.Unlock()
	sl := c.slots.slots[p.key]
	return p.granted || sl != nil && sl.state == enginelink.SlotLoading
}

// granted keeps the pin of a request that waited, or counts its refusal.
func (l *link) granted(q *enginelink.Acquire, p *pin, g enginelink.Grant, a *acquireCall) enginelink.Grant {
	c := l.controller
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(l.calls, q.ID)
	if a.left {
		c.slots.unpin(c.now(), p)
		g.Refused = enginelink.RefuseCanceled
	}
	if g.Refused != "" {
		c.metrics.refused(g.Refused)
		return g
	}
	l.keepPin(q.ID, p)
	c.published.announce()
	return g
}

// giveUp ends the wait of a request that no slot came free for in time, unless it
// was granted at the last moment.
func (l *link) giveUp(q *enginelink.Acquire, w *pendingRequest, a *acquireCall) enginelink.Grant {
	c := l.controller
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(l.calls, q.ID)
	select {
	case g := <-w.grant:
		switch {
		case a.left:
			c.slots.unpin(c.now(), w.pin)
		case g.Refused == "":
			l.keepPin(q.ID, w.pin)
		}
		return g
	default:
	}
	c.slots.cancel(c.now(), w)
	c.metrics.refused(enginelink.RefuseNoSlot)
	return enginelink.Grant{Refused: enginelink.RefuseNoSlot}
}

// keepPin keeps a granted pin with its link, or ends it where the link has ended
// meanwhile. The caller holds the controller's mu.
func (l *link) keepPin(id sandbarrow.RequestID, p *pin) {
	if l.closed {
		l.controller.slots.unpin(l.controller.now(), p)
		return
	}
	l.pins[id] = p
}

// adopt keeps a pin that was granted before this controller started, or without it.
func (l *link) adopt(q *enginelink.Acquire) {
	c := l.controller
	c.mu.Lock()
	defer c.mu.Unlock()
	if l.pins[q.ID] != nil {
		return
	}
	if p := c.orphans[q.ID]; p != nil {
		delete(c.orphans, q.ID)
		l.keepPin(q.ID, p)
		return
	}
	p := &pin{begun: true, key: sandbarrow.AdapterKey{Adapter: q.Adapter, Model: q.Model}, priority: q.Priority, tokens: q.Tokens}
	c.slots.pin(c.now(), p)
	l.keepPin(q.ID, p)
}

// applyProgress follows the progress of a pinned request by the method that reports it:
// its answer has begun, its stream has paused for too long, or it is done and its pin
// ends.
func (l *link) applyProgress(id sandbarrow.RequestID, method string) {
	c := l.controller
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	p := l.pins[id]
	if p == nil {
		p = c.orphans[id]
	}
	switch {
	case p == nil && method == enginelink.MethodUnpin && l.calls[id] != nil:
		c.leave(l.calls[id])
		delete(l.calls, id)
		return
	case p == nil:
		return
	case method == enginelink.MethodPaused:
		if size, closed := c.slots.paused(now); closed {
			c.logger.Info("read window closed", "request", string(id), "tokens", size)
		}
		return
	case method == enginelink.MethodResponseStarted:
		c.slots.begun(now, p)
	case method == enginelink.MethodUnpin:
		delete(l.pins, id)
		if o := c.orphans[id]; o != nil && o != p {
			c.slots.unpin(now, o) // of a link that ended here after this one was there
		}
		delete(c.orphans, id)
		c.slots.done(now, p)
		if len(c.slots.pending) > 0 {
			c.wakeEngineLoop()
		}
	}
	p.begun = true
	c.published.announce()
}

// orphanGrace is how long a pin outlives its link: longer than a gateway needs to link
// again (0.15 s on average, forward.DialTimeout at most). TestSoak/3 holds it.
const orphanGrace = 800 * time.Millisecond

// orphan keeps a pin whose link has ended for orphanGrace: the request may go on at
// the engine while its gateway links again. The caller holds mu.
func (c *Controller) orphan(id sandbarrow.RequestID, p *pin) {
	c.orphans[id] = p
	time.AfterFunc(orphanGrace, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.orphans[id] != p {
			return
		}
		delete(c.orphans, id)
		c.slots.unpin(c.now(), p)
		c.published.announce()
		c.wakeEngineLoop()
	})
}
