package controller

import (
	"time"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/enginelink"
)

// addCall registers an acquire call of the gateway.
func (l *link) addCall(id sandbarrow.RequestID) *acquireCall {
	l.controller.mu.Lock()
	defer l.controller.mu.Unlock()
	a := &acquireCall{}
	l.calls[id] = a
	return a
}

// acquire waits for a pin on an adapter. It waits as long as the gateway allows for the
// load to start. Once the adapter is loading or loaded, it waits up to
// enginelink.ExtraLoadWait longer.
func (l *link) acquire(q *enginelink.Acquire, a *acquireCall) enginelink.Grant {
	c := l.controller
	p := &pin{expires: expiryOf(c.now(), q), gapTarget: q.GapTarget(), key: sandbarrow.AdapterKey{Adapter: q.Adapter, Model: q.Model}, priority: q.Priority, promptPrefixes: q.PromptPrefixes, tokens: q.Tokens}
	w, refusal := l.enqueue(q, p, a)
	if w == nil {
		c.metrics.refused(refusal.Refused)
		return refusal
	}
	if g, ok := l.waitForGrant(w, time.Duration(q.WaitMS)*time.Millisecond); ok {
		return l.acceptGrant(q, p, g, a)
	}
	if l.isLoadingOrPinned(p) {
		if g, ok := l.waitForGrant(w, enginelink.ExtraLoadWait); ok {
			return l.acceptGrant(q, p, g, a)
		}
	}
	return l.cancelWait(q, w, a)
}

// enqueue queues a request. If the request is refused immediately, it returns a nil request
// and the refusal.
func (l *link) enqueue(q *enginelink.Acquire, p *pin, a *acquireCall) (*pendingRequest, enginelink.Grant) {
	c := l.controller
	c.mu.Lock()
	defer c.mu.Unlock()
	if a.canceled || l.closed {
		return nil, enginelink.Grant{Refused: enginelink.RefuseCanceled}
	}
	if refusal, refused := c.refuseAtOnce(q); refused {
		delete(l.calls, q.ID)
		return nil, refusal
	}
	// A gateway with an outdated view must not get a version that is known to be old.
	q.Version = max(q.Version, c.estate.View().MinVersion(p.key))
	w := c.slots.acquire(c.now(), q, p)
	a.request = w
	if len(w.grant) == 0 {
		c.wakeEngineLoop()
		c.published.markChanged()
	}
	return w, enginelink.Grant{}
}

// refuseAtOnce decides which requests are not queued. It refuses requests that the engine
// can't serve. It also refuses a request if more prompt tokens are waiting here than its
// gateway allows, so that the gateway chooses again with this controller's own count.
//
// The decision depends on the engine's last report (at most 0.25 s old, 15 ms during loads)
// and on the prompt tokens that wait now. The caller holds mu.
func (c *Controller) refuseAtOnce(q *enginelink.Acquire) (enginelink.Grant, bool) {
	switch {
	case c.reported.Draining:
		return enginelink.Grant{Refused: enginelink.RefuseDraining}, true
	case c.isEvacuated():
		return enginelink.Grant{Refused: enginelink.RefuseEvacuated}, true
	case c.failedReports >= unreachableAfter:
		return enginelink.Grant{Refused: enginelink.RefuseUnreachable}, true
	case !c.hasModel(q.Model):
		return enginelink.Grant{Refused: enginelink.RefuseNoModel}, true
	case c.now().Before(c.backoffUntil) && c.slots.needsOrder(sandbarrow.AdapterKey{Adapter: q.Adapter, Model: q.Model}, q.Version):
		return enginelink.Grant{Refused: enginelink.RefuseBackoff}, true
	case q.Instance != "" && c.instance != "" && !q.Instance.Matches(c.instance):
		// The engine would refuse the request after a useless load, and the gateway's next
		// attempt would use up a retry from its budget.
		return enginelink.Grant{Refused: enginelink.RefuseInstance}, true
	}
	if q.MaxWaitingTokens > 0 {
		if waiting := c.slots.waiting(); waiting.Ahead(q.Priority) > q.MaxWaitingTokens {
			return enginelink.Grant{Refused: enginelink.RefuseBusy, Waiting: waiting.Total(), WaitingByPriority: &waiting}, true
		}
	}
	return enginelink.Grant{}, false
}

// hasModel reports whether the engine has loaded a base model. The caller holds mu.
func (c *Controller) hasModel(m sandbarrow.BaseModelID) bool {
	for _, loaded := range c.reported.Models {
		if loaded.Model == m {
			return true
		}
	}
	return false
}

// waitForGrant waits for a grant until the timeout expires or the link closes.
func (l *link) waitForGrant(w *pendingRequest, timeout time.Duration) (enginelink.Grant, bool) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case g := <-w.grant:
		return g, true
	case <-timer.C:
	case <-l.ctx.Done():
	}
	return enginelink.Grant{}, false
}

// isLoadingOrPinned reports whether the engine is loading the adapter of a pin. It is also
// true if the pin is already granted and only waits for the prefill of other prompts.
func (l *link) isLoadingOrPinned(p *pin) bool {
	c := l.controller
	c.mu.Lock()
	defer c.mu.Unlock()
	sl := c.slots.slots[p.key]
	return p.granted || sl != nil && sl.state == enginelink.SlotLoading
}

// acceptGrant records the pin of a granted request, or counts its refusal.
func (l *link) acceptGrant(q *enginelink.Acquire, p *pin, g enginelink.Grant, a *acquireCall) enginelink.Grant {
	c := l.controller
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(l.calls, q.ID)
	if a.canceled {
		c.slots.unpin(c.now(), p)
		g.Refused = enginelink.RefuseCanceled
	}
	if g.Refused != "" {
		c.metrics.refused(g.Refused)
		return g
	}
	l.addPin(q.ID, p)
	c.published.markChanged()
	return g
}

// cancelWait ends the wait of a request that got no grant in time. If the grant arrived at
// the last moment, it returns that grant.
func (l *link) cancelWait(q *enginelink.Acquire, w *pendingRequest, a *acquireCall) enginelink.Grant {
	c := l.controller
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(l.calls, q.ID)
	select {
	case g := <-w.grant:
		switch {
		case a.canceled:
			c.slots.unpin(c.now(), w.pin)
		case g.Refused == "":
			l.addPin(q.ID, w.pin)
		}
		return g
	default:
	}
	c.slots.cancel(c.now(), w)
	c.metrics.refused(enginelink.RefuseNoSlot)
	return enginelink.Grant{Refused: enginelink.RefuseNoSlot}
}

// addPin adds a granted pin to its link, or releases it if the link has closed in the
// meantime. The caller holds the controller's mu.
func (l *link) addPin(id sandbarrow.RequestID, p *pin) {
	if l.closed {
		l.controller.slots.unpin(l.controller.now(), p)
		return
	}
	l.pins[id] = p
}

// adopt registers a pin that was granted before this controller started, or without it.
func (l *link) adopt(q *enginelink.Acquire) {
	c := l.controller
	c.mu.Lock()
	defer c.mu.Unlock()
	if l.closed || l.pins[q.ID] != nil {
		return
	}
	if p := c.detachedPins[q.ID]; p != nil {
		delete(c.detachedPins, q.ID)
		l.addPin(q.ID, p)
		return
	}
	p := &pin{expires: expiryOf(c.now(), q), responseStarted: true, gapTarget: q.GapTarget(), key: sandbarrow.AdapterKey{Adapter: q.Adapter, Model: q.Model}, priority: q.Priority, tokens: q.Tokens}
	c.slots.pin(c.now(), p)
	l.addPin(q.ID, p)
}

// applyProgress applies a progress report for a pinned request. The method tells whether
// the response has started, the stream has paused for too long, or the request is done and
// its pin is released.
func (l *link) applyProgress(id sandbarrow.RequestID, method string) {
	c := l.controller
	c.mu.Lock()
	defer c.mu.Unlock()
	if l.closed {
		return // its pins belong to a newer link
	}
	now := c.now()
	p := l.pins[id]
	if p == nil {
		p = c.detachedPins[id]
	}
	switch {
	case p == nil && method == enginelink.MethodUnpin && l.calls[id] != nil:
		c.cancelAcquire(l.calls[id])
		delete(l.calls, id)
		return
	case p == nil:
		return
	case method == enginelink.MethodPaused:
		if size, closed := c.slots.streamPaused(now); closed {
			c.logger.Info("read window closed", "request", string(id), "tokens", size)
		}
		return
	case method == enginelink.MethodResponseStarted:
		c.slots.responseStarted(now, p)
	case method == enginelink.MethodUnpin:
		delete(l.pins, id)
		if o := c.detachedPins[id]; o != nil && o != p {
			c.slots.unpin(now, o) // from an older link that closed here after this one opened
		}
		delete(c.detachedPins, id)
		c.slots.requestDone(now, p)
		if len(c.slots.pending) > 0 {
			c.wakeEngineLoop()
		}
	}
	p.responseStarted = true
	c.published.markChanged()
}

// detachedPinGrace is how long a pin outlives its link. It is longer than a gateway needs
// to link again (0.15 s on average, forward.DialTimeout at most). TestSoak/3 checks it.
const detachedPinGrace = 800 * time.Millisecond

// detachPin keeps a pin for detachedPinGrace after its link has closed. The request may
// still be running on the engine while its gateway links again. The caller holds mu.
func (c *Controller) detachPin(id sandbarrow.RequestID, p *pin) {
	c.detachedPins[id] = p
	time.AfterFunc(detachedPinGrace, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.detachedPins[id] != p {
			return
		}
		delete(c.detachedPins, id)
		c.slots.unpin(c.now(), p)
		c.published.markChanged()
		c.wakeEngineLoop()
	})
}
