package gateway

import (
	"context"
	"time"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/enginelink"
	"sandbarrow.example/sandbarrow/internal/boottime"
	"sandbarrow.example/sandbarrow/internal/pause"
	"sandbarrow.example/sandbarrow/sendkeepers"
	"sandbarrow.example/sandbarrow/throttle"
)

// sendPermits requests permits to send to upstreams that name a limit. It is safe for concurrent
// use.
type sendPermits struct {
	gateway      *Gateway
	coordinators *sendkeepers.Coordinators
	// own grants sends to all peers if this gateway is the coordinator.
	own *enginelink.SendCoordinator
}

func newSendPermits(g *Gateway) *sendPermits {
	p := &sendPermits{gateway: g, own: enginelink.NewSendCoordinator(1)}
	p.coordinators = sendkeepers.New(sendkeepers.Config{
		Controllers: p.controllers, Logger: g.logger, Own: p.own, PeerAddress: g.config.PeerAddress, Peers: g.config.Peers,
	})
	return p
}

// controllers returns the controllers whose links are up.
func (p *sendPermits) controllers() []sendkeepers.Coordinator {
	var list []sendkeepers.Coordinator
	for _, l := range p.gateway.engines.upLinks(boottime.Now()) {
		list = append(list, l)
	}
	return list
}

// sendPermit is the right to send one request to an upstream.
type sendPermit struct {
	// permits is nil if the upstream names no limit.
	permits *sendPermits
	record  throttle.Record
}

// release returns the permit of a request that was not sent.
func (p *sendPermit) release() {
	if p.permits != nil {
		p.permits.coordinators.Report(enginelink.Sent{Record: p.record, Sends: -1})
	}
}

// acquire requests one send to an upstream. If it is granted for a later time, acquire waits until
// then. It returns false if the upstream accepts no request now.
func (p *sendPermits) acquire(ctx context.Context, in *sandbarrow.Instance, within time.Duration) (*sendPermit, bool) {
	record, need, may := p.gateway.upstreams.beginPermitRequest(in.ID)
	switch {
	case !may:
		return nil, false
	case !need:
		return &sendPermit{}, true
	}
	grant := p.coordinators.RequestSend(ctx, enginelink.Send{Record: record, MaxWaitMS: within.Milliseconds()})
	p.gateway.upstreams.endPermitRequest(in.ID, &grant, within)
	outcome := "refused"
	if grant.Granted {
		outcome = "granted"
	}
	p.gateway.metrics.permitRequests.WithLabelValues(string(in.Service), outcome).Inc()
	if !grant.Granted {
		return nil, false
	}
	permit := &sendPermit{permits: p, record: record}
	pause.For(ctx, time.Duration(grant.WaitMS)*time.Millisecond)
	if ctx.Err() != nil {
		permit.release()
		return nil, false
	}
	return permit, true
}
