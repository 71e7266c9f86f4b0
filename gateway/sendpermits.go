package gateway

import (
	"context"
	"time"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/enginelink"
	"sandbarrow.example/sandbarrow/internal/pause"
	"sandbarrow.example/sandbarrow/throttle"
)

// This file holds this gateway to the limits that upstreams name in their answers: each send
// to such an upstream is asked for at a process that all gateways ask (sendkeepers.go). A limit
// is for all of them together, and often far below one request a second for each, so that no
// gateway can keep to it by itself.

// aloneParts is into how many parts a limit is split among gateways that reach neither a
// controller nor a peer.
const aloneParts = 8

// sendPermits asks for sends to upstreams that name a limit. It is safe for concurrent use.
type sendPermits struct {
	gateway *Gateway
	// alone grants this gateway's part of the limits while it reaches no other process; kept
	// grants sends to all peers where this gateway is asked.
	alone, kept *enginelink.SendKeeper
	keepers     *sendKeepers
}

func newSendPermits(g *Gateway) *sendPermits {
	p := &sendPermits{alone: enginelink.NewSendKeeper(aloneParts), gateway: g, kept: enginelink.NewSendKeeper(1)}
	p.keepers = newSendKeepers(p)
	return p
}

// run closes connections to peers that are not needed any more, all when ctx ends.
func (p *sendPermits) run(ctx context.Context) error {
	return p.keepers.run(ctx)
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
		p.permits.keepers.report(nil, enginelink.Sent{Record: p.record, Sends: -1})
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
	grant := p.keepers.ask(ctx, enginelink.Send{Record: record, WithinMS: within.Milliseconds()})
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
