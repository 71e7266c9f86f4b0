package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/enginelink"
	"sandbarrow.example/sandbarrow/internal/boottime"
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

// upstreamLimits keeps the limits that upstreams name, and asks for the sends to them. It is
// safe for concurrent use.
type upstreamLimits struct {
	gateway *Gateway
	// alone grants this gateway's part of the limits while it reaches no other process; kept
	// grants sends to all peers where this gateway is asked.
	alone, kept *enginelink.SendKeeper
	keepers     *sendKeepers
	// some says that a limit is known, so that nothing need be looked up where none is.
	some atomic.Bool

	mu    sync.Mutex
	gates throttle.Gates
}

func newUpstreamLimits(g *Gateway) *upstreamLimits {
	u := &upstreamLimits{
		alone: enginelink.NewSendKeeper(aloneParts), gateway: g, kept: enginelink.NewSendKeeper(1),
	}
	u.keepers = newSendKeepers(u)
	return u
}

// run closes connections to peers that are not needed any more, all when ctx ends.
func (u *upstreamLimits) run(ctx context.Context) error {
	return u.keepers.run(ctx)
}

// limited counts the upstreams that name a limit.
func (u *upstreamLimits) limited() float64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	return float64(u.gates.Limited())
}

// observe applies the limit that an upstream names in an answer to a request sent at a time.
func (u *upstreamLimits) observe(in *sandbarrow.Instance, sent time.Time, status int, named *sandbarrow.RequestRate) {
	if named == nil && !u.some.Load() {
		return
	}
	now := boottime.Now()
	said, says := throttle.LimitOf(now, sent, status, named)
	if !says {
		return
	}
	u.mu.Lock()
	changed := u.gates.Apply(now, in.ID, said)
	u.some.Store(!u.gates.Empty())
	record, _ := u.gates.Record(now, in.ID)
	u.mu.Unlock()
	if changed {
		u.logChanged(record)
		u.keepers.report(nil, enginelink.Sent{Record: record})
	}
}

// learn applies what others say of an upstream's limit.
func (u *upstreamLimits) learn(r throttle.Record) {
	u.mu.Lock()
	changed := u.gates.Merge(boottime.Now(), r)
	u.some.Store(!u.gates.Empty())
	u.mu.Unlock()
	if changed {
		u.logChanged(r)
	}
}

func (u *upstreamLimits) logChanged(r throttle.Record) {
	u.gateway.logger.Info("limit of an upstream", "upstream", string(r.Instance), "rate", float64(r.Rate), "ended", r.Ended, "age_ms", r.AgeMS)
}

// inForce returns the limit that an upstream names, or false.
func (u *upstreamLimits) inForce(id sandbarrow.InstanceID) (throttle.Limit, bool) {
	if !u.some.Load() {
		return throttle.Limit{}, false
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.gates.InForce(boottime.Now(), id)
}

// look returns how long it is until an upstream may be asked for, and its price.
func (u *upstreamLimits) look(now time.Time, id sandbarrow.InstanceID) (wait, price time.Duration) {
	if !u.some.Load() {
		return 0, 0
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.gates.Look(now, id)
}

// begin notes that a request asks for a send, where it needs to and may.
func (u *upstreamLimits) begin(id sandbarrow.InstanceID) (record throttle.Record, need, may bool) {
	if !u.some.Load() {
		return record, false, true
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.gates.Begin(boottime.Now(), id)
}

// end notes what came of asking for a send within a time.
func (u *upstreamLimits) end(id sandbarrow.InstanceID, g *enginelink.SendGrant, within time.Duration) {
	if g.Limit != nil {
		u.learn(*g.Limit)
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.gates.End(boottime.Now(), id, throttle.Grant{Granted: g.Granted, Wait: time.Duration(g.WaitMS) * time.Millisecond}, within)
}

// sendPermit is the right to send one request to an upstream.
type sendPermit struct {
	// limits is nil where the upstream names no limit.
	limits *upstreamLimits
	record throttle.Record
}

// unused gives the permit back, since the request was not sent.
func (p *sendPermit) unused() {
	if p.limits != nil {
		p.limits.keepers.report(nil, enginelink.Sent{Record: p.record, Sends: -1})
	}
}

// acquire asks for one send to an upstream. Where it is granted for a moment later, it waits
// for that; false means that the upstream takes no request now.
func (u *upstreamLimits) acquire(ctx context.Context, in *sandbarrow.Instance, within time.Duration) (*sendPermit, bool) {
	record, need, may := u.begin(in.ID)
	switch {
	case !may:
		return nil, false
	case !need:
		return &sendPermit{}, true
	}
	grant := u.keepers.ask(ctx, enginelink.Send{Record: record, WithinMS: within.Milliseconds()})
	u.end(in.ID, &grant, within)
	outcome := "refused"
	if grant.Granted {
		outcome = "granted"
	}
	u.gateway.metrics.limitedAsks.WithLabelValues(string(in.Service), outcome).Inc()
	if !grant.Granted {
		return nil, false
	}
	permit := &sendPermit{limits: u, record: record}
	pause.For(ctx, time.Duration(grant.WaitMS)*time.Millisecond)
	if ctx.Err() != nil {
		permit.unused()
		return nil, false
	}
	return permit, true
}
