package sendkeepers

import (
	"context"

	"github.com/juju/errors"

	"sandbarrow.example/sandbarrow/enginelink"
)

// localPermits grants permits in this process: for peers, or alone.
type localPermits struct {
	coordinator *enginelink.PermitCoordinator
	// name is empty if no other process uses the coordinator.
	name string
}

// Name returns the gateway's address, or nothing.
func (l localPermits) Name() string { return l.name }

// Permit requests a permit and waits for the decision.
func (l localPermits) Permit(ctx context.Context, q enginelink.PermitRequest) (enginelink.PermitGrant, error) {
	return l.coordinator.Request(ctx, q)
}

// PermitReport applies a report.
func (l localPermits) PermitReport(p enginelink.PermitReport) { l.coordinator.Report(p) }

// Permit requests a permit from the peer and waits for the decision. The connection is closed if no
// reply arrives, unless the caller has left.
func (p *peer) Permit(ctx context.Context, q enginelink.PermitRequest) (grant enginelink.PermitGrant, err error) {
	dial, cancel := context.WithTimeout(ctx, SendTimeout)
	defer cancel()
	rpc, err := p.connect(dial)
	if err != nil {
		return grant, err
	}
	err = rpc.Call(ctx, enginelink.MethodPermit, q, &grant)
	if err != nil && !isUnknownMethod(err) && !errors.Is(ctx.Err(), context.Canceled) {
		p.drop(rpc)
	}
	return grant, errors.Trace(err)
}

// PermitReport reports to the peer.
func (p *peer) PermitReport(r enginelink.PermitReport) {
	ctx, cancel := context.WithTimeout(context.Background(), SendTimeout)
	defer cancel()
	rpc, err := p.connect(ctx)
	if err != nil {
		return // the next request for a permit detects an unreachable peer
	}
	if rpc.Notify(ctx, enginelink.MethodPermitReport, r) != nil {
		p.drop(rpc)
	}
}
