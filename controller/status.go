package controller

import "sandbarrow.example/sandbarrow/enginelink"

// status returns the engine's current status. The caller holds mu.
func (c *Controller) status() enginelink.Status {
	s := enginelink.Status{
		Free: c.slots.free(), Gateways: len(c.links), Instance: c.instance, Draining: c.reported.Draining,
		EngineUnreachable: c.failedReports >= unreachableAfter, EventTimes: c.slots.curve.published(), Loads: c.slots.window.observed, Slots: c.slots.status(), Speed: c.slots.prefills.publishedSpeed(), Token: c.token,
	}
	if c.instance == "" && c.failedReports == 0 {
		s.Started = c.reported.Started
	}
	if c.demand != nil {
		s.Queued = c.slots.queuedLoads()
	}
	for _, m := range c.reported.Models {
		s.Models = append(s.Models, m.Model)
		s.ModelVersions = append(s.ModelVersions, m.Version)
	}
	for l := range c.links {
		for _, p := range l.pins {
			if p.granted {
				s.Running++
			}
		}
	}
	waiting := c.slots.waiting()
	if s.WaitingTokens = waiting.Total(); s.WaitingTokens > 0 {
		s.WaitingByPriority = &waiting
	}
	return s
}
