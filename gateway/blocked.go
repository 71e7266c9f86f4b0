package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/availability"
	"sandbarrow.example/sandbarrow/internal/boottime"
	"sandbarrow.example/sandbarrow/throttle"
)

// blockedUpstreams is what a call has seen of upstreams that accept no request now.
type blockedUpstreams struct {
	// accepts is when the first of them accepts one; zero where none says so. why is what keeps
	// that one until then.
	accepts time.Time
	why     availability.Reason
	// open says that the last choice has met one that accepts requests, whether the call had
	// been there before or not.
	open bool
	// draining says that the last choice has met an upstream that drains, rest that it has met
	// one that does not.
	draining, rest bool
	// others says that the last choice has met one that accepts requests and names no limit.
	others bool
}

// choose begins a new choice.
func (b *blockedUpstreams) choose() {
	b.draining, b.open, b.others, b.rest = false, false, false, false
}

// note notes a look at an upstream; excluded says that the call does not choose it again.
func (b *blockedUpstreams) note(now time.Time, l *availability.Look, excluded bool) {
	if l.Wait > 0 {
		b.noteFree(now.Add(l.Wait), l.Blocked)
	}
	if l.Blocked == availability.Draining {
		b.draining = true
		return
	}
	b.rest = true
	if l.Blocked != "" {
		return
	}
	b.open = true
	if !l.Limited && !excluded {
		b.others = true
	}
}

// noteFree notes when an upstream accepts a request, and what keeps it until then.
func (b *blockedUpstreams) noteFree(at time.Time, why availability.Reason) {
	if b.accepts.IsZero() || at.Before(b.accepts) {
		b.accepts, b.why = at, why
	}
}

// decisive reports whether it is no use to wait for an upstream to appear: one accepts a request
// at a time that is known, or all drain.
func (b *blockedUpstreams) decisive() bool {
	return !b.accepts.IsZero() || b.draining && !b.rest
}

const (
	// mostSpread bounds the time over which callers are spread that wait for limited upstreams.
	mostSpread = time.Second
	// leastReturn is the least time after which a caller is told to come back.
	leastReturn = 20 * time.Millisecond
	// sendWithinParts: a request waits for its turn at a limited upstream for one of so many
	// parts of its time at most.
	sendWithinParts = 4
)

// retryAfter is when the caller is told to come back: not before an upstream takes a request,
// and spread, since one of those that come then is served.
func (b *blockedUpstreams) retryAfter(now time.Time) time.Duration {
	wait := max(b.accepts.Sub(now), leastReturn)
	return wait + rand.N(min(max(wait, retryAfter), mostSpread))
}

// look decides whether the request may be sent to an upstream now, and notes what it has seen;
// excluded ones are those that the call does not choose again.
func (c *call) look(now time.Time, in *sandbarrow.Instance, r availability.Report, excluded map[sandbarrow.InstanceID]bool) (l availability.Look, may bool) {
	l = c.gateway.upstreams.look(now, in, r)
	c.blocked.note(now, &l, excluded[in.ID])
	return l, l.Blocked == "" && !excluded[in.ID]
}

// permitSend asks for a send to an upstream. Where it takes no request now, the call looks for
// another one; it waits for its turn only where all upstreams name a limit.
func (c *call) permitSend(ctx context.Context, in *sandbarrow.Instance) (*sendPermit, bool) {
	within := min(throttle.Within, c.left()/sendWithinParts)
	if c.blocked.others {
		within = 0
	}
	permit, granted := c.gateway.permits.acquire(ctx, in, within)
	if !granted {
		now := boottime.Now()
		l := c.gateway.upstreams.look(now, in, availability.Report{})
		c.blocked.noteFree(now.Add(l.Wait), availability.Limited)
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

// sentNow notes that the request leaves for an upstream, and returns when.
func (c *call) sentNow(in *sandbarrow.Instance) time.Time {
	now := boottime.Now()
	c.notice = c.gateway.upstreams.notice(now, in.ID)
	c.gateway.metrics.blockedSend(in.Service, &c.notice)
	limit, limited := c.gateway.upstreams.limitInForce(in.ID)
	c.limit = float64(limit.Rate)
	if limited {
		c.gateway.metrics.limitedSends.WithLabelValues(string(in.Service)).Inc()
	}
	return now
}

// unserved decides why no upstream was left for the call, by the reason of its last attempt: where
// upstreams accept a request later, its caller is told when. One that has refused this request is
// among these only while none accepts requests.
func (c *call) unserved(why reason) reason {
	b := &c.blocked
	switch {
	case b.accepts.IsZero(), why != reasonNoUpstream && why != reasonRefused, why == reasonRefused && b.open:
		return why
	case b.why == availability.Backoff:
		return reasonUpstreamBackoff
	}
	return reasonUpstreamLimit
}
