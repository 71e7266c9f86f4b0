package gateway

import (
	"context"

	"github.com/juju/errors"

	"sandbarrow.example/sandbarrow/enginelink"
	"sandbarrow.example/sandbarrow/sendkeepers"
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
