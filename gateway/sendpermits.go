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

// sendPermits asks for sends to upstreams that name a limit. It is safe for concurrent use.
type sendPermits struct {
	gateway *Gateway
	keepers *sendkeepers.Coordinators
	// kept grants sends to all peers where this gateway is asked.
	kept *enginelink.SendCoordinator
}

func newSendPermits(g *Gateway) *sendPermits {
	p := &sendPermits{gateway: g, kept: enginelink.NewSendCoordinator(1)}
	p.keepers = sendkeepers.New(sendkeepers.Config{
		Controllers: p.controllers, Logger: g.logger, Own: p.kept, PeerAddress: g.config.PeerAddress, Peers: g.config.Peers,
	})
	return p
}

// controllers are the controllers whose links are up.
func (p *sendPermits) controllers() []sendkeepers.Coordinator {
	var list []sendkeepers.Coordinator
	for _, l := range p.gateway.engines.upLinks(boottime.Now()) {
		list = append(list, l)
	}
	return list
}

// sendPermit is the right to send one request to an upstream.
type sendPermit struct {
	// permits is nil where the upstream names no limit.
	permits *sendPermits
	record  throttle.Record
}

// unused gives the permit back, since the request was not sent.
func (p *sendPermit) unused() {
	if p.permits != nil {
		p.permits.keepers.Report(enginelink.Sent{Record: p.record, Sends: -1})
	}
}

// acquire asks for one send to an upstream. Where it is granted for a moment later, it waits
// for that; false means that the upstream takes no request now.
func (p *sendPermits) acquire(ctx context.Context, in *sandbarrow.Instance, within time.Duration) (*sendPermit, bool) {
	record, need, may := p.gateway.upstreams.beginAsk(in.ID)
	switch {
	case !may:
		return nil, false
	case !need:
		return &sendPermit{}, true
	}
	grant := p.keepers.RequestSend(ctx, enginelink.Send{Record: record, MaxWaitMS: within.Milliseconds()})
	p.gateway.upstreams.endAsk(in.ID, &grant, within)
	outcome := "refused"
	if grant.Granted {
		outcome = "granted"
	}
	p.gateway.metrics.limitedAsks.WithLabelValues(string(in.Service), outcome).Inc()
	if !grant.Granted {
		return nil, false
	}
	permit := &sendPermit{permits: p, record: record}
	pause.For(ctx, time.Duration(grant.WaitMS)*time.Millisecond)
	if ctx.Err() != nil {
		permit.unused()
		return nil, false
	}
	return permit, true
}
