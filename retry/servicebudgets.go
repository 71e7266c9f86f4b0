package retry

import (
	"sync"

	"sandbarrow.example/sandbarrow"
)

// The fractions of the fleet's retry allowance that one gateway uses. The users set the allowance
// for all gateways together: a share of a service's requests, and a slack beyond it (settings
// retry_share and retry_slack). Gateways do not coordinate retries. Each uses less than its part of
// the allowance.
const (
	// shareFraction is the fraction of the share that is used. With less, streams break for lack of
	// retries while many responses are lost.
	shareFraction = 0.95
	// slackFraction is the fraction of the slack that is used. With less, streams break right after
	// a crash of many engines.
	slackFraction = 0.7
	// initialFraction is the fraction of the burst that a gateway starts with. Many gateways may
	// restart at once, and their predecessors have already spent their bursts.
	initialFraction = 0.4
	// FallbackBurst is the burst while the number of gateways is not known.
	FallbackBurst = 2
)

// ServiceBudgets holds one gateway's budget of each service. It is safe for concurrent use.
type ServiceBudgets struct {
	share, slack float64

	mu      sync.Mutex
	budgets map[sandbarrow.ServiceID]*Budget
}

// NewServiceBudgets returns the budgets of a gateway. Its fleet may retry a share of its requests,
// from 0 to 1, and slack requests beyond that.
func NewServiceBudgets(share, slack float64) *ServiceBudgets {
	return &ServiceBudgets{budgets: map[sandbarrow.ServiceID]*Budget{}, share: share, slack: slack}
}

// Budget returns the budget of a service: this gateway's part of the retries of all gateways
// together. gateways is the number of gateways, 0 if it is not known.
func (s *ServiceBudgets) Budget(id sandbarrow.ServiceID, gateways int) *Budget {
	maxSaved := GatewayBurst(s.slack, gateways)
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.budgets[id]
	if b == nil {
		b = NewBudget(s.share*shareFraction, max(1, maxSaved*initialFraction))
		s.budgets[id] = b
	}
	b.SetMax(maxSaved)
	return b
}

// LeastSaved returns the number of retries that are saved up for the service with the fewest, and false
// if there is no service yet.
func (s *ServiceBudgets) LeastSaved() (float64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	least, found := 0.0, false
	for _, b := range s.budgets {
		if saved := b.Saved(); !found || saved < least {
			least, found = saved, true
		}
	}
	return least, found
}

// GatewayBurst decides how many retries one gateway may save up, at least one.
//
// Inputs: the retries that the fleet may make beyond its share of the requests (setting
// retry_slack), and the number of gateways that the controllers report. This number is at most half
// a second old; 0 if no controller is linked.
func GatewayBurst(slack float64, gateways int) float64 {
	if gateways == 0 {
		return min(FallbackBurst, slack)
	}
	return max(1, slack*slackFraction/float64(gateways))
}
