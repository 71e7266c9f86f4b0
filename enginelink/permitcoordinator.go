package enginelink

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"sandbarrow.example/sandbarrow/internal/boottime"
	"sandbarrow.example/sandbarrow/permit"
	"sandbarrow.example/sandbarrow/wire"
)

// minAdvance is the least time between two timed decisions. It bounds the work of a clock that runs
// slightly behind a deadline.
const minAdvance = time.Millisecond

// PermitCoordinator serves requests for send permits of contended plain upstreams. A controller serves
// all gateways; without a controller, a gateway serves its peers. It is safe for concurrent use.
type PermitCoordinator struct {
	// notify is called without a lock for upstreams that have become contended; nil for no one.
	notify func(Contended)

	mu          sync.Mutex
	coordinator permit.Coordinator
	// conns holds the connections with waiting requests or with earlier ones.
	conns map[*jsonrpc2.Conn]bool
	// replies holds the waiting requests.
	replies map[permit.ID]pendingPermit
	timer   *time.Timer
	// timerAt is when timer expires; zero if it is not set.
	timerAt time.Time
}

// pendingPermit is a request without a decision.
type pendingPermit struct {
	// conn is nil for a request of this process.
	conn    *jsonrpc2.Conn
	reply   func(PermitGrant)
	request *PermitRequest
}

// NewPermitCoordinator returns a coordinator. notify is called for upstreams that have become contended;
// it must not block, and may be nil.
func NewPermitCoordinator(notify func(Contended)) *PermitCoordinator {
	c := &PermitCoordinator{notify: notify, conns: map[*jsonrpc2.Conn]bool{}, replies: map[permit.ID]pendingPermit{}}
	c.timer = time.AfterFunc(time.Hour, c.advance)
	c.timer.Stop()
	return c
}

// Handle serves a message about permits; handled is false for any other message.
func (c *PermitCoordinator) Handle(rpc *jsonrpc2.Conn, r *jsonrpc2.Request) (result any, handled bool, err error) {
	switch r.Method {
	case MethodPermit:
		var q PermitRequest
		if err := wire.Decode(r, &q); err != nil {
			return nil, true, err
		}
		c.watch(rpc)
		c.ask(&q, rpc, func(g PermitGrant) {
			go func() { _ = rpc.Reply(context.Background(), r.ID, g) }() // a closed connection needs no reply
		})
		return nil, true, wire.ErrDeferredReply
	case MethodPermitReport:
		var p PermitReport
		if err := wire.Decode(r, &p); err != nil {
			return nil, true, err
		}
		c.Report(p)
		return nil, true, nil
	}
	return nil, false, nil
}

// Request requests a permit for this process, and waits for the decision until ctx ends.
func (c *PermitCoordinator) Request(ctx context.Context, q PermitRequest) (PermitGrant, error) {
	decided := make(chan PermitGrant, 1)
	c.ask(&q, nil, func(g PermitGrant) { decided <- g })
	select {
	case g := <-decided:
		return g, nil
	case <-ctx.Done():
		return PermitGrant{}, ctx.Err()
	}
}

// Report applies a report of a gateway. The end of a wait cancels the request.
func (c *PermitCoordinator) Report(p PermitReport) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p.Kind == permit.Returned {
		delete(c.replies, p.ID)
	}
	c.decided(c.coordinator.Report(boottime.Now(), p.report()))
}

// Counts returns the numbers of contended upstreams, outstanding permits and waiting requests.
func (c *PermitCoordinator) Counts() (contended, outstanding, waiting int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.coordinator.Counts()
}

// ask adds a request. reply is called once, with mu held, when the request is decided.
func (c *PermitCoordinator) ask(q *PermitRequest, rpc *jsonrpc2.Conn, reply func(PermitGrant)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.replies[q.ID] = pendingPermit{conn: rpc, reply: reply, request: q}
	c.decided(c.coordinator.Ask(boottime.Now(), q.request()))
}

// decided replies to the requests that are decided, and sets the timer for the next decision. The caller
// holds mu.
func (c *PermitCoordinator) decided(decisions []permit.Decision) {
	for _, d := range decisions {
		if p, ok := c.replies[d.ID]; ok {
			delete(c.replies, d.ID)
			p.reply(PermitGrant{Contended: d.Contended, Granted: d.Granted, WaitMS: wire.Millis(d.Wait)})
		}
	}
	if began := c.coordinator.TakeBegun(); len(began) > 0 && c.notify != nil {
		go c.notify(Contended{Instances: began})
	}
	next := c.coordinator.Next()
	if next.IsZero() || !c.timerAt.IsZero() && !next.Before(c.timerAt) {
		return
	}
	c.timerAt = next
	c.timer.Reset(max(minAdvance, boottime.Until(next)))
}

// advance makes the decisions that are due by time.
func (c *PermitCoordinator) advance() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.timerAt = time.Time{}
	c.decided(c.coordinator.Advance(boottime.Now()))
}

// watch cancels the waiting requests of a connection once it closes.
func (c *PermitCoordinator) watch(rpc *jsonrpc2.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns[rpc] {
		return
	}
	c.conns[rpc] = true
	go func() { // ends with the connection
		<-rpc.DisconnectNotify()
		c.cancelAll(rpc)
	}()
}

// cancelAll cancels the waiting requests of a connection that has closed.
func (c *PermitCoordinator) cancelAll(rpc *jsonrpc2.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.conns, rpc)
	var left []*PermitRequest
	for id, p := range c.replies {
		if p.conn == rpc {
			left = append(left, p.request)
			delete(c.replies, id)
		}
	}
	for _, q := range left {
		c.decided(c.coordinator.Report(boottime.Now(), &permit.Report{ID: q.ID, Instance: q.Instance, Kind: permit.Returned}))
	}
}
