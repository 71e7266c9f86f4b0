package enginelink

import (
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"sandbarrow.example/sandbarrow/internal/boottime"
	"sandbarrow.example/sandbarrow/throttle"
	"sandbarrow.example/sandbarrow/wire"
)

// SendCoordinator serves requests for sends to upstreams that name a limit. A controller
// serves all gateways; without a controller, a gateway serves its peers. It is safe for
// concurrent use.
type SendCoordinator struct {
	mu          sync.Mutex
	coordinator throttle.Coordinator
}

// NewSendCoordinator returns a coordinator that grants one of the given number of equal
// shares of each limit.
func NewSendCoordinator(shares int) *SendCoordinator {
	return &SendCoordinator{coordinator: throttle.Coordinator{Shares: shares}}
}

// Handle serves a message about limits; handled is false for any other message. changed is
// the new limit of an upstream, if the message carried one.
func (c *SendCoordinator) Handle(r *jsonrpc2.Request) (result any, changed *throttle.Record, handled bool, err error) {
	switch r.Method {
	case MethodSend:
		var request Send
		if err := wire.Decode(r, &request); err != nil {
			return nil, nil, true, err
		}
		grant, changed := c.Send(&request)
		return grant, changed, true, nil
	case MethodSent:
		var s Sent
		if err := wire.Decode(r, &s); err != nil {
			return nil, nil, true, err
		}
		return nil, c.Sent(&s), true, nil
	}
	return nil, nil, false, nil
}

// Records returns the limits that this coordinator knows.
func (c *SendCoordinator) Records() []throttle.Record {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.coordinator.Records(boottime.Now())
}

// Send grants or refuses one send.
func (c *SendCoordinator) Send(request *Send) (grant SendGrant, changed *throttle.Record) {
	now := boottime.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	changed = c.apply(now, request.Record)
	g := c.coordinator.Acquire(now, request.Record, time.Duration(request.MaxWaitMS)*time.Millisecond)
	grant = SendGrant{Granted: g.Granted, WaitMS: int64((g.Wait + time.Millisecond - 1) / time.Millisecond)}
	if known, ok := c.coordinator.Record(now, request.Instance); ok {
		grant.Limit = &known
	}
	return grant, changed
}

// Sent applies a report of sends that another coordinator granted.
func (c *SendCoordinator) Sent(s *Sent) (changed *throttle.Record) {
	now := boottime.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	changed = c.apply(now, s.Record)
	c.coordinator.CountSends(now, s.Record, s.Sends)
	return changed
}

// apply merges the limit that an upstream has named. It returns the limit if it changed, and
// nil otherwise. The caller holds mu.
func (c *SendCoordinator) apply(now time.Time, r throttle.Record) *throttle.Record {
	if !c.coordinator.Merge(now, r) {
		return nil
	}
	return &r
}
