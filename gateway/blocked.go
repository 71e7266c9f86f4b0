package gateway

import (
	"math/rand/v2"
	"time"

	"sandbarrow.example/sandbarrow/availability"
)

const (
	// maxRetrySpread bounds the random part of Retry-After for callers that wait for blocked
	// upstreams.
	maxRetrySpread = time.Second
	// minRetryAfter is the shortest time after which a caller is told to retry.
	minRetryAfter = 20 * time.Millisecond
)

// blockedUpstreams collects what a call has found out about upstreams that currently accept no
// requests.
type blockedUpstreams struct {
	// acceptsAt is the earliest time at which one of them accepts a request; zero if that is
	// unknown for all of them. cause is what blocks that one until then.
	acceptsAt time.Time
	cause     availability.Reason
	// anyAccepting is set if the last choice found an upstream that accepts requests, whether
	// the call has already tried it or not.
	anyAccepting bool
	// anyDraining is set if the last choice found an upstream that drains, anyEvacuated if it found
	// one in an evacuated failure domain, and anyInService if it found one of neither kind.
	anyDraining, anyEvacuated, anyInService bool
	// anyOtherSoftware is set if the last choice found an upstream at which the stream may not go on.
	anyOtherSoftware bool
	// anyUnlimited is set if the last choice found an untried upstream that accepts requests and
	// names no limit.
	anyUnlimited bool
}

// reset prepares for a new choice.
func (b *blockedUpstreams) reset() {
	b.anyAccepting, b.anyDraining, b.anyEvacuated, b.anyInService, b.anyOtherSoftware, b.anyUnlimited = false, false, false, false, false, false
}

// record applies the result of a check of an upstream. excluded is set if the call does not
// choose it again.
func (b *blockedUpstreams) record(now time.Time, l *availability.Check, excluded bool) {
	if l.Wait > 0 {
		b.recordAcceptTime(now.Add(l.Wait), l.Blocked)
	}
	switch l.Blocked {
	case availability.Draining:
		b.anyDraining = true
		return
	case availability.Evacuated:
		b.anyEvacuated = true
		return
	}
	b.anyInService = true
	if l.Blocked != "" {
		return
	}
	b.anyAccepting = true
	if !l.Limited && !excluded {
		b.anyUnlimited = true
	}
}

// recordAcceptTime applies the time at which an upstream accepts a request again, and the
// reason that blocks it until then.
func (b *blockedUpstreams) recordAcceptTime(at time.Time, cause availability.Reason) {
	if b.acceptsAt.IsZero() || at.Before(b.acceptsAt) {
		b.acceptsAt, b.cause = at, cause
	}
}

// waitIsFutile reports whether the call should not wait for an upstream to appear. This is so if
// the time at which one accepts requests again is known, or if all of them drain or are evacuated. A
// stream that may go on at some of them only does not wait for these: one that starts again is not
// listed in time, and may run other software.
func (b *blockedUpstreams) waitIsFutile() bool {
	return !b.acceptsAt.IsZero() || (b.anyDraining || b.anyEvacuated) && !b.anyInService || b.anyOtherSoftware && !b.anyAccepting
}

// onlyOtherSoftware reports whether upstreams at which the stream may not go on are the only ones that
// neither drain nor are evacuated.
func (b *blockedUpstreams) onlyOtherSoftware() bool {
	return b.anyOtherSoftware && !b.anyInService
}

// onlyEvacuated reports whether upstreams of evacuated failure domains are the only ones that do not
// drain.
func (b *blockedUpstreams) onlyEvacuated() bool {
	return b.anyEvacuated && !b.anyInService
}

// retryAfter returns the time after which the caller should retry: not before an upstream accepts
// a request, plus a random part. Without it all callers would retry at once, and the upstream
// would accept only one of them.
func (b *blockedUpstreams) retryAfter(now time.Time) time.Duration {
	wait := max(b.acceptsAt.Sub(now), minRetryAfter)
	return wait + rand.N(min(max(wait, retryAfter), maxRetrySpread))
}
