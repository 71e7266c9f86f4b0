package enginelink

import (
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"sandbarrow.example/sandbarrow/internal/boottime"
	"sandbarrow.example/sandbarrow/throttle"
	"sandbarrow.example/sandbarrow/wire"
)

// SendCoordinator serves the questions for sends to upstreams that name a limit: a controller does
// for all gateways, a gateway for its peers where there is no controller. It is safe for
// concurrent use.
type SendCoordinator struct {
	mu     sync.Mutex
	keeper throttle.Coordinator
}

// NewSendCoordinator returns a keeper that grants one of so many parts of the limits.
func NewSendCoordinator(parts int) *SendCoordinator {
	return &SendCoordinator{keeper: throttle.Coordinator{Shares: parts}}
}

// Handle serves a message about limits; handled is false for any other one. changed has what
// an upstream says by now, where the message brought it.
func (k *SendCoordinator) Handle(r *jsonrpc2.Request) (answer any, changed *throttle.Record, handled bool, err error) {
	switch r.Method {
	case MethodSend:
		var q Send
		if err := wire.Decode(r, &q); err != nil {
			return nil, nil, true, err
		}
		grant, changed := k.Send(&q)
		return grant, changed, true, nil
	case MethodSent:
		var s Sent
		if err := wire.Decode(r, &s); err != nil {
			return nil, nil, true, err
		}
		return nil, k.Sent(&s), true, nil
	}
	return nil, nil, false, nil
}

// Records is what this keeper knows of limits.
func (k *SendCoordinator) Records() []throttle.Record {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.keeper.Records(boottime.Now())
}

// Send answers the question for one send.
func (k *SendCoordinator) Send(q *Send) (grant SendGrant, changed *throttle.Record) {
	now := boottime.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	changed = k.apply(now, q.Record)
	g := k.keeper.Acquire(now, q.Record, time.Duration(q.MaxWaitMS)*time.Millisecond)
	grant = SendGrant{Granted: g.Granted, WaitMS: int64((g.Wait + time.Millisecond - 1) / time.Millisecond)}
	if known, ok := k.keeper.Record(now, q.Instance); ok {
		grant.Limit = &known
	}
	return grant, changed
}

// Sent notes what another keeper granted.
func (k *SendCoordinator) Sent(s *Sent) (changed *throttle.Record) {
	now := boottime.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	changed = k.apply(now, s.Record)
	k.keeper.CountSends(now, s.Record, s.Sends)
	return changed
}

// apply notes what an upstream says of its limit, and returns that where it is news. The
// caller holds mu.
func (k *SendCoordinator) apply(now time.Time, r throttle.Record) *throttle.Record {
	if !k.keeper.Merge(now, r) {
		return nil
	}
	return &r
}
