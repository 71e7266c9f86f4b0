package gateway

import (
	"context"

	"github.com/juju/errors"
	"github.com/sourcegraph/jsonrpc2"

	"sandbarrow.example/sandbarrow/enginelink"
	"sandbarrow.example/sandbarrow/internal/boottime"
	"sandbarrow.example/sandbarrow/sendkeepers"
	"sandbarrow.example/sandbarrow/wire"
)

// errNoConnection means that the process has no connection at present.
const errNoConnection = errors.ConstError("gateway: no connection")

// Name returns the controller's address.
func (l *controllerLink) Name() string { return l.address }

// Send requests one send permit from the controller.
func (l *controllerLink) Send(ctx context.Context, q enginelink.Send) (grant enginelink.SendGrant, err error) {
	rpc := l.connection()
	if rpc == nil {
		return grant, errNoConnection
	}
	ctx, cancel := context.WithTimeout(ctx, sendkeepers.SendTimeout)
	defer cancel()
	err = rpc.Call(ctx, enginelink.MethodSend, q, &grant)
	return grant, err
}

// Sent reports to the controller what another coordinator has granted.
func (l *controllerLink) Sent(s enginelink.Sent) {
	if rpc := l.connection(); rpc != nil {
		_ = rpc.Notify(context.Background(), enginelink.MethodSent, s) // a link that has broken has lost its count too
	}
}

// Permit requests a permit for a contended plain upstream from the controller, and waits for the
// decision.
func (l *controllerLink) Permit(ctx context.Context, q enginelink.PermitRequest) (grant enginelink.PermitGrant, err error) {
	rpc := l.connection()
	if rpc == nil {
		return grant, errNoConnection
	}
	err = rpc.Call(ctx, enginelink.MethodPermit, q, &grant)
	return grant, err
}

// Up reports whether the controller's heartbeats arrive.
func (l *controllerLink) Up() bool { return l.up(boottime.Now()) }

// PermitReport reports a permit, the end of a wait, or a sign of contention to the controller.
func (l *controllerLink) PermitReport(p enginelink.PermitReport) {
	if rpc := l.connection(); rpc != nil {
		_ = rpc.Notify(context.Background(), enginelink.MethodPermitReport, p) // permits that are not returned expire
	}
}

// handleContended applies the controller's notice that upstreams are contended.
func (l *controllerLink) handleContended(r *jsonrpc2.Request) (any, error) {
	if r.Method != enginelink.MethodContended {
		return l.handlePreload(r)
	}
	var m enginelink.Contended
	if err := wire.Decode(r, &m); err != nil {
		return nil, err
	}
	l.gateway.plainPermits.begin(m.Instances)
	return nil, nil
}
