package controller

import "sandbarrow.example/sandbarrow/enginelink"

// acquireCall is one acquire of a gateway that has no answer yet. It is guarded by the
// controller's mu.
type acquireCall struct {
	// left says that the gateway wants the pin no longer.
	left bool
	// request waits for its grant; nil before it is queued.
	request *pendingRequest
}

// leave ends an acquire that its gateway has ended: its place in the queue, or the pin that
// was granted meanwhile. Without it the pin lasts as long as the link: its adapter is
// never unloaded, and its prompt counts as waiting at the engine. The caller holds mu.
func (c *Controller) leave(a *acquireCall) {
	a.left = true
	if a.request == nil {
		return
	}
	c.slots.cancel(c.now(), a.request)
	select {
	case a.request.grant <- enginelink.Grant{Refused: enginelink.RefuseCanceled}:
	default: // it was granted, and the one who takes the grant sees that the gateway left
	}
	c.published.announce()
	c.wakeEngineLoop()
}
