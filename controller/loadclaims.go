package controller

import (
	"sync"

	"github.com/sourcegraph/jsonrpc2"

	"sandbarrow.example/sandbarrow/enginelink"
	"sandbarrow.example/sandbarrow/internal/boottime"
	"sandbarrow.example/sandbarrow/loadclaim"
	"sandbarrow.example/sandbarrow/wire"
)

// loadClaims answers the gateways that ask which engine of the service loads an adapter. It is safe
// for concurrent use.
type loadClaims struct {
	metrics *metrics

	mu    sync.Mutex
	table loadclaim.Table
}

// handle serves a message about loads; handled is false for any other message, and if the controller
// does not coordinate loads.
func (l *loadClaims) handle(r *jsonrpc2.Request) (result any, handled bool, err error) {
	if l == nil || r.Method != enginelink.MethodClaimLoad && r.Method != enginelink.MethodLoadClaimed {
		return nil, false, nil
	}
	var q enginelink.ClaimLoad
	if err := wire.Decode(r, &q); err != nil {
		return nil, true, err
	}
	l.mu.Lock()
	decision := enginelink.LoadDecision{Instance: l.table.Decide(boottime.Now(), q.Claim())}
	l.mu.Unlock()
	if r.Method == enginelink.MethodLoadClaimed {
		return nil, true, nil
	}
	l.metrics.loadClaimed(decision.Instance == q.Instance)
	return decision, true, nil
}
