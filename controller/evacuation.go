package controller

import "sandbarrow.example/sandbarrow/enginelink"

// isEvacuated reports whether the operators have evacuated this engine's failure domain. The engine
// then gets no new requests, and nothing is loaded for them. Requests that run there are not
// affected. Gateways that know of the evacuation send no requests; this covers the others.
func (c *Controller) isEvacuated() bool {
	return c.estate.View().Evacuated(c.domain)
}

// refuseIfEvacuated refuses the waiting requests once an evacuation has begun. The caller holds mu.
func (c *Controller) refuseIfEvacuated() {
	evacuated := c.isEvacuated()
	if evacuated && !c.evacuated {
		c.logger.Info("engine evacuated", "failure_domain", string(c.domain))
		c.slots.refuseAll(c.now(), enginelink.RefuseEvacuated)
	}
	c.evacuated = evacuated
}
