package controller

import "sandbarrow.example/sandbarrow/enginelink"

// status describes the engine. The caller holds mu.
func (c *Controller) status() enginelink.Status {
	s := enginelink.Status{
		Free: c.slots.free(), Gateways: len(c.links), Instance: c.instance, Draining: c.reported.Draining,
		EngineUnreachable: c.failedReports >= unreachableAfter, Slots: c.slots.status(), Token: c.token,
	}
	for _, m := range c.reported.Models {
		s.Models = append(s.Models, m.Model)
	}
	for l := range c.links {
		for _, p := range l.pins {
			if p.granted {
				s.Running++
			}
		}
	}
	s.WaitingTokens = c.waitingTokens()
	return s
}

// waitingTokens counts the prompts that the engine has yet to read: those
// granted whose answer has not begun, and those that wait for their adapter.
// The caller holds mu.
func (c *Controller) waitingTokens() int {
	n := c.slots.waitingTokens()
	for l := range c.links {
		for _, p := range l.pins {
			if p.granted && !p.begun {
				n += p.tokens
			}
		}
	}
	return n
}
