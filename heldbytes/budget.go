// Package heldbytes bounds the memory that a gateway holds for requests: for slow callers and slow
// upstreams, it would otherwise be bounded by the number of requests alone.
//
// It handles callers that send or read slowly while others are served. The package owns one count of
// bytes and decides what may be added to it. It relies on its caller to count what it holds, and to
// release it. Gateways use it.
package heldbytes

import "sync/atomic"

const (
	// budgetShare is the share of the box's memory that requests may hold. The rest is for the
	// operators' state, for buffers of the kernel, and for garbage that has not been collected.
	budgetShare = 0.4
	// newWorkShare is the share of the budget up to which new requests are admitted. The rest is for
	// the responses of requests that run already.
	newWorkShare = 0.8
	// largeResponseShare is the share of the budget up to which large responses are read.
	largeResponseShare = 0.5
	// RequestBytes is what a request holds besides its bodies: goroutines, buffers of its two
	// connections, and headers.
	RequestBytes = 24 << 10
)

// Use is what bytes are held for.
type Use int

// The uses of bytes.
const (
	// NewWork is a request that has not been sent to an upstream.
	NewWork Use = iota
	// Response is a response of an upstream.
	Response
	// LargeResponse is a response that holds more than its share.
	LargeResponse
)

// Allow decides whether bytes may be held in addition to those already held. bound is the budget;
// without one (0) everything is allowed. A response that alone exceeds the budget is allowed when
// nothing else is held, since it would otherwise wait for ever.
func Allow(held, more, bound int64, use Use) bool {
	switch {
	case bound <= 0:
		return true
	case use == NewWork:
		return held+more <= int64(newWorkShare*float64(bound))
	case use == LargeResponse:
		return held+more <= int64(largeResponseShare*float64(bound)) || held <= RequestBytes
	}
	return held+more <= bound || held <= RequestBytes
}

// UseOfResponse decides for what a response holds bytes, so many of them by now: it is a large one if it
// holds more than its share, which is the part of the budget that new requests leave, divided by the
// requests that hold something.
//
// Upstreams may write without end. Large responses therefore leave room for new requests and for all
// others: those that are within their shares always find it.
func UseOfResponse(response, bound int64, requests int) Use {
	if float64(response) > (1-newWorkShare)*float64(bound)/float64(max(1, requests)) {
		return LargeResponse
	}
	return Response
}

// Budget counts the bytes that a gateway holds. It is safe for concurrent use.
type Budget struct {
	bound    int64
	held     atomic.Int64
	requests atomic.Int64
}

// NewBudget returns the budget of a process on a box with this much memory, in MiB; 0 means that
// there is no bound.
func NewBudget(memoryMB int) *Budget {
	return &Budget{bound: int64(budgetShare * float64(memoryMB<<20))}
}

// Acquire counts bytes if they are allowed, and reports whether they are. own is what the request
// itself holds already.
func (b *Budget) Acquire(bytes, own int64, use Use) bool {
	for {
		held := b.held.Load()
		if !Allow(held-own, bytes+own, b.bound, use) {
			return false
		}
		if b.held.CompareAndSwap(held, held+bytes) {
			return true
		}
	}
}

// Add counts bytes that are held already, or releases some if bytes is negative.
func (b *Budget) Add(bytes int64) { b.held.Add(bytes) }

// AddRequests counts requests that begin to hold bytes, or end if the number is negative.
func (b *Budget) AddRequests(n int64) { b.requests.Add(n) }

// UseOfResponse decides for what a response holds bytes.
func (b *Budget) UseOfResponse(response int64) Use {
	return UseOfResponse(response, b.bound, int(b.requests.Load()))
}

// Held returns the number of bytes held.
func (b *Budget) Held() int64 { return b.held.Load() }
