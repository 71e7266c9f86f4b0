package gateway

import (
	"math/rand/v2"
	"time"

	"sandbarrow.example/sandbarrow/availability"
)

const (
	// mostSpread bounds the time over which callers are spread that wait for limited upstreams.
	mostSpread = time.Second
	// leastReturn is the least time after which a caller is told to come back.
	leastReturn = 20 * time.Millisecond
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
func (b *blockedUpstreams) note(now time.Time, l *availability.Check, excluded bool) {
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

// retryAfter is when the caller is told to come back: not before an upstream takes a request,
// and spread, since one of those that come then is served.
func (b *blockedUpstreams) retryAfter(now time.Time) time.Duration {
	wait := max(b.accepts.Sub(now), leastReturn)
	return wait + rand.N(min(max(wait, retryAfter), mostSpread))
}
