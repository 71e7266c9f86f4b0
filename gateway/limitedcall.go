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

// limitWait is what a call has seen of upstreams that take no request now.
type limitWait struct {
	// free is how long it is until the first of them takes one.
	free time.Duration
	// others says that the last choice was among upstreams that name no limit too.
	others bool
	// seen says that there was any that takes no request now.
	seen bool
}

// note notes an upstream that takes no request for a time.
func (w *limitWait) note(free time.Duration) {
	if !w.seen || free < w.free {
		w.free = free
	}
	w.seen = true
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
func (w *limitWait) retryAfter() time.Duration {
	return max(w.free, leastReturn) + rand.N(min(max(w.free, retryAfter), mostSpread))
}

// look decides whether the request may be sent to an upstream now. It notes one that takes it
// later.
func (c *call) look(now time.Time, in *sandbarrow.Instance, r availability.Report) availability.Look {
	l := c.gateway.upstreams.look(now, in, r)
	switch {
	case l.Blocked == availability.Limited:
		c.limited.note(l.Wait)
	case l.Blocked == "" && !l.Limited:
		c.limited.others = true
	}
	return l
}

// permitSend asks for a send to an upstream. Where it takes no request now, the call looks for
// another one; it waits for its turn only where all upstreams name a limit.
func (c *call) permitSend(ctx context.Context, in *sandbarrow.Instance) (*sendPermit, bool) {
	within := min(throttle.Within, c.left()/sendWithinParts)
	if c.limited.others {
		within = 0
	}
	permit, granted := c.gateway.permits.acquire(ctx, in, within)
	if !granted {
		c.limited.note(c.gateway.upstreams.look(boottime.Now(), in, availability.Report{}).Wait)
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

// unserved is why no upstream was left for the call.
func (c *call) unserved(why reason) reason {
	if why == reasonNoUpstream && c.limited.seen {
		return reasonUpstreamLimit
	}
	return why
}
