package controller

import "sandbarrow.example/sandbarrow/enginelink"

// acquireCall is one acquire call of a gateway that has no reply yet. It is guarded by the
// controller's mu.
type acquireCall struct {
	// canceled reports that the gateway no longer needs the pin.
	canceled bool
	// request is waiting for its grant; nil until it is queued.
	request *pendingRequest
}

// cancelAcquire cancels an acquire call. It removes the request from the queue and releases
// a pin that was granted in the meantime. Otherwise the pin would last as long as the link:
// its adapter would never be unloaded, and its prompt would count as waiting at the engine.
// The caller holds mu.
func (c *Controller) cancelAcquire(a *acquireCall) {
	a.canceled = true
	if a.request == nil {
		return
	}
	c.slots.cancel(c.now(), a.request)
	select {
	case a.request.grant <- enginelink.Grant{Refused: enginelink.RefuseCanceled}:
	default: // already granted; the receiver of the grant checks canceled
	}
	c.published.markChanged()
	c.wakeEngineLoop()
}
