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

// sendWaitDivisor bounds the wait for a send to a limited upstream: at most the time left divided
// by it.
const sendWaitDivisor = 4

// check decides whether the request may be sent to an upstream now, and records the result in
// c.blocked. excluded holds the upstreams that the call does not choose again. An upstream outside
// the request's regions counts as not listed, and so does one at which its stream may not go on.
func (c *call) check(now time.Time, in *sandbarrow.Instance, r availability.Report, excluded map[sandbarrow.InstanceID]bool) (result availability.Check, may bool) {
	if !c.mayServeIn(in.FailureDomain) {
		return availability.Check{}, false
	}
	if !c.mayGoOnAt(in, r) {
		c.blocked.anyOtherSoftware = true
		return availability.Check{}, false
	}
	result = c.gateway.upstreams.check(now, in, r)
	c.blocked.record(now, &result, excluded[in.ID])
	return result, result.Blocked == "" && !excluded[in.ID]
}

// permitSend requests a permit to send to an upstream. If the upstream accepts no request now, the
// call chooses another one. It waits for a permit only if all upstreams name a limit.
func (c *call) permitSend(ctx context.Context, in *sandbarrow.Instance) (*sendPermit, bool) {
	within := min(throttle.MaxWait, c.timeLeft()/sendWaitDivisor)
	if c.blocked.anyUnlimited {
		within = 0
	}
	permit, granted := c.gateway.permits.acquire(ctx, in, within)
	if !granted {
		now := boottime.Now()
		result := c.gateway.upstreams.check(now, in, availability.Report{})
		c.blocked.recordAcceptTime(now.Add(result.Wait), availability.Limited)
	}
	return permit, granted
}

// renewPermit requests a permit if the upstream has named a limit since the first permit was
// granted. The call may have waited a long time for its adapter.
func (c *call) renewPermit(ctx context.Context, in *sandbarrow.Instance, p *sendPermit) (*sendPermit, bool) {
	if p.permits != nil {
		return p, true
	}
	return c.permitSend(ctx, in)
}

// send sends the request to an upstream, unless the upstream accepts no requests by the time the
// connection is ready. It returns the time at which it began, and counts requests that were sent. p
// follows the progress of a stream; it is nil for others.
func (c *call) send(ctx context.Context, in *sandbarrow.Instance, version sandbarrow.AdapterVersion, p *progress) (*forward.UpstreamResponse, time.Time, error) {
	began := boottime.Now()
	notice := c.gateway.upstreams.notice(began, in.ID)
	namedLimit, limited := c.gateway.upstreams.limitInForce(in.ID)
	request := c.upstreamRequest(in, version)
	c.memory.response = 0
	request.Hold = func(bytes int) error { return c.memory.await(ctx, int64(bytes)) }
	if p != nil {
		request.Watch = func(received func() bool) { p.received.Store(&received) }
	}
	a, err := c.gateway.pool(in).Send(ctx, request)
	if errors.Is(err, forward.ErrNotSent) {
		c.gateway.upstreams.recordUnsent(in, err)
		return nil, began, err
	}
	c.sent++
	c.sentAt = began
	c.phase = phaseWaiting
	if err == nil {
		c.phase = phaseResponding
	}
	c.lastUpstream, c.lastSoftware, c.namedLimit, c.notice = in.ID, in.Software, float64(namedLimit.Rate), notice
	c.gateway.metrics.blockedSend(in.Service, &notice)
	if limited {
		c.gateway.metrics.limitedSends.WithLabelValues(string(in.Service)).Inc()
	}
	return a, began, err
}

// unservedReason decides the reason for a call that found no upstream. cause is the reason of its
// last attempt. If all failure domains with upstreams are evacuated, that is the reason. If
// upstreams accept a request later, the caller is told when. An upstream that
// refused this request counts among these only while no upstream accepts requests.
func (c *call) unservedReason(cause reason) reason {
	b := &c.blocked
	switch {
	case cause == reasonNoUpstream && b.onlyOtherSoftware():
		return reasonOtherSoftware
	case cause == reasonNoUpstream && b.onlyEvacuated():
		return reasonEvacuated
	case b.acceptsAt.IsZero(), cause != reasonNoUpstream && cause != reasonRefused, cause == reasonRefused && b.anyAccepting:
		return cause
	case b.cause == availability.Backoff:
		return reasonUpstreamBackoff
	}
	return reasonUpstreamLimit
}
