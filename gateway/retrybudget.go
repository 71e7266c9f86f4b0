package gateway

import (
	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/retry"
)

// How much of the fleet's allowance for retries one gateway uses. The allowance is
// the users': a share of a service's requests and a slack beyond it, for all
// gateways together (settings retry_share and retry_slack). Gateways agree on
// nothing, so each uses its part, less than all of it.
const (
	// retrySharePart is the part of the share that is used: with less, streams end for
	// want of a retry while many answers are lost.
	retrySharePart = 0.95
	// retrySlackPart is the part of the slack that is used: with less, streams end right
	// after a crash of many engines.
	retrySlackPart = 0.7
	// retryStartPart is the part of the burst that a gateway starts with: many may restart
	// at once, and those before them have spent theirs.
	retryStartPart = 0.4
	// unknownBurst is the burst while the number of gateways is not known.
	unknownBurst = 2
)

// budget returns the retry budget of a service at this gateway: its part of what
// all gateways together may send again.
func (g *Gateway) budget(id sandbarrow.ServiceID) *retry.Budget {
	most := g.retryBurst()
	g.mu.Lock()
	defer g.mu.Unlock()
	b := g.budgets[id]
	if b == nil {
		b = retry.NewBudget(g.config.RetryShare*retrySharePart, max(1, most*retryStartPart))
		g.budgets[id] = b
	}
	b.SetMost(most)
	return b
}

// retryBurst is how many retries this gateway may save up now.
func (g *Gateway) retryBurst() float64 {
	return burstOf(g.config.RetrySlack, g.engines.gateways())
}

// burstOf decides how many retries one gateway may save up, at least one.
//
// Inputs: the retries that the fleet may make beyond its share of the requests
// (setting retry_slack), and the number of gateways as the controllers see them, at
// most half a second old; 0 where no controller is linked.
func burstOf(slack float64, gateways int) float64 {
	if gateways == 0 {
		return min(unknownBurst, slack)
	}
	return max(1, slack*retrySlackPart/float64(gateways))
}
