package retry

import (
	"sync"

	"sandbarrow.example/sandbarrow"
)

// How much of the fleet's allowance for retries one gateway uses. The allowance is
// the users': a share of a service's requests and a slack beyond it, for all
// gateways together (settings retry_share and retry_slack). Gateways agree on
// nothing, so each uses its part, less than all of it.
const (
	// sharePart is the part of the share that is used: with less, streams end for
	// want of a retry while many answers are lost.
	sharePart = 0.95
	// slackPart is the part of the slack that is used: with less, streams end right
	// after a crash of many engines.
	slackPart = 0.7
	// startPart is the part of the burst that a gateway starts with: many may restart
	// at once, and those before them have spent theirs.
	startPart = 0.4
	// FallbackBurst is the burst while the number of gateways is not known.
	FallbackBurst = 2
)

// ServiceBudgets holds one gateway's budget of each service. It is safe for concurrent use.
type ServiceBudgets struct {
	share, slack float64

	mu      sync.Mutex
	budgets map[sandbarrow.ServiceID]*Budget
}

// NewServiceBudgets returns the budgets of a gateway of a fleet that may send a share of its
// requests again, from 0 to 1, and so many more beyond that.
func NewServiceBudgets(share, slack float64) *ServiceBudgets {
	return &ServiceBudgets{budgets: map[sandbarrow.ServiceID]*Budget{}, share: share, slack: slack}
}

// Budget returns the budget of a service: this gateway's part of what all gateways together
// may send again. gateways is how many there are, 0 where that is not known.
func (s *ServiceBudgets) Budget(id sandbarrow.ServiceID, gateways int) *Budget {
	most := GatewayBurst(s.slack, gateways)
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.budgets[id]
	if b == nil {
		b = NewBudget(s.share*sharePart, max(1, most*startPart))
		s.budgets[id] = b
	}
	b.SetMost(most)
	return b
}

// GatewayBurst decides how many retries one gateway may save up, at least one.
//
// Inputs: the retries that the fleet may make beyond its share of the requests
// (setting retry_slack), and the number of gateways as the controllers see them, at
// most half a second old; 0 where no controller is linked.
func GatewayBurst(slack float64, gateways int) float64 {
	if gateways == 0 {
		return min(FallbackBurst, slack)
	}
	return max(1, slack*slackPart/float64(gateways))
}
