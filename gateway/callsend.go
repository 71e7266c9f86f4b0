package gateway

import (
	"context"
	"time"

	"github.com/juju/errors"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/availability"
	"sandbarrow.example/sandbarrow/forward"
	"sandbarrow.example/sandbarrow/internal/boottime"
	"sandbarrow.example/sandbarrow/throttle"
)

// sendWithinParts: a request waits for its turn at a limited upstream for one of so many parts of
// its time at most.
const sendWithinParts = 4

// look decides whether the request may be sent to an upstream now, and notes what it has seen;
// excluded ones are those that the call does not choose again.
func (c *call) look(now time.Time, in *sandbarrow.Instance, r availability.Report, excluded map[sandbarrow.InstanceID]bool) (l availability.Check, may bool) {
	l = c.gateway.upstreams.look(now, in, r)
	c.blocked.record(now, &l, excluded[in.ID])
	return l, l.Blocked == "" && !excluded[in.ID]
}

// permitSend asks for a send to an upstream. Where it takes no request now, the call looks for
// another one; it waits for its turn only where all upstreams name a limit.
func (c *call) permitSend(ctx context.Context, in *sandbarrow.Instance) (*sendPermit, bool) {
	within := min(throttle.MaxWait, c.left()/sendWithinParts)
	if c.blocked.anyUnlimited {
		within = 0
	}
	permit, granted := c.gateway.permits.acquire(ctx, in, within)
	if !granted {
		now := boottime.Now()
		l := c.gateway.upstreams.look(now, in, availability.Report{})
		c.blocked.recordAcceptTime(now.Add(l.Wait), availability.Limited)
	}
	return permit, granted
}

// renewPermit asks for a send where the upstream has named a limit since it was permitted: the
// call may have waited long for its adapter.
func (c *call) renewPermit(ctx context.Context, in *sandbarrow.Instance, p *sendPermit) (*sendPermit, bool) {
	if p.permits != nil {
		return p, true
	}
	return c.permitSend(ctx, in)
}

// send gives the request to an upstream, unless that accepts none by the time a connection is
// there. It returns when it began, and counts what has left.
func (c *call) send(ctx context.Context, in *sandbarrow.Instance, version sandbarrow.AdapterVersion) (*forward.Answer, time.Time, error) {
	began := boottime.Now()
	notice := c.gateway.upstreams.notice(began, in.ID)
	limit, limited := c.gateway.upstreams.limitInForce(in.ID)
	a, err := c.gateway.pool(in).Send(ctx, c.upstreamRequest(in, version))
	if errors.Is(err, forward.ErrNotSent) {
		c.gateway.upstreams.noteUnsent(in, err)
		return nil, began, err
	}
	c.sent++
	c.last, c.limit, c.notice = in.ID, float64(limit.Rate), notice
	c.gateway.metrics.blockedSend(in.Service, &notice)
	if limited {
		c.gateway.metrics.limitedSends.WithLabelValues(string(in.Service)).Inc()
	}
	return a, began, err
}

// unserved decides why no upstream was left for the call, by the reason of its last attempt: where
// upstreams accept a request later, its caller is told when. One that has refused this request is
// among these only while none accepts requests.
func (c *call) unserved(why reason) reason {
	b := &c.blocked
	switch {
	case b.acceptsAt.IsZero(), why != reasonNoUpstream && why != reasonRefused, why == reasonRefused && b.anyAccepting:
		return why
	case b.why == availability.Backoff:
		return reasonUpstreamBackoff
	}
	return reasonUpstreamLimit
}
