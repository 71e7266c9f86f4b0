package entry

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"
	"github.com/sourcegraph/jsonrpc2"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/crash"
	"sandbarrow.example/sandbarrow/internal/boottime"
	"sandbarrow.example/sandbarrow/logging"
	"sandbarrow.example/sandbarrow/placement"
	"sandbarrow.example/sandbarrow/wire"
)

const (
	// dialTimeout bounds the time to open a connection.
	dialTimeout = time.Second
	// connections is the number of connections to one agent. A connection decodes its
	// messages sequentially, which limits it to about 12,000 requests a second.
	connections = 4
	// revokeTimeout bounds the wait for the reply to a revoke.
	revokeTimeout = 1500 * time.Millisecond
)

// The errors of a peer.
const (
	// errLost means that the connection was lost after the attempt was sent.
	errLost = errors.ConstError("entry: connection to the agent lost")
	// errNotSent means that no part of the attempt was sent.
	errNotSent = errors.ConstError("entry: attempt not sent")
	// errRevoked means that the attempt was revoked and never runs.
	errRevoked = errors.ConstError("entry: attempt revoked")
)

// peer holds the connections to one agent. The first one also carries its status.
type peer struct {
	box         sandbarrow.Box
	entry       *Entry
	handle      atomic.Uint64
	lastContact atomic.Int64 // when the last message arrived, in nanoseconds of boottime
	hello       wire.HelloReply
	index       int
	inflight    atomic.Int64
	connections []*jsonrpc2.Conn
	session     wire.SessionID

	mu      sync.Mutex
	streams map[uint64]*responseStream
}

// dial opens all connections to an agent and performs the handshake on each.
func (e *Entry) dial(ctx context.Context, box sandbarrow.Box) (*peer, error) {
	p := &peer{box: box, entry: e, session: wire.SessionID(uuid.NewString()), streams: map[uint64]*responseStream{}}
	p.recordContact()
	ready := make(chan struct{})
	for i := range connections {
		reply, err := p.openConnection(ctx, i > 0, ready)
		if err == nil && i > 0 && reply.Incarnation != p.hello.Incarnation {
			err = errors.New("the agent was replaced while its connections were opened")
		}
		if err != nil {
			p.close()
			return nil, errors.Annotatef(err, "agent %s", box.ID)
		}
		if i == 0 {
			p.hello = reply
		}
	}
	p.index = e.fleet.Add(placement.Info{
		BaseModel:     p.hello.BaseModel,
		Box:           p.hello.Box,
		FailureDomain: p.hello.FailureDomain,
		ID:            p.hello.Upstream,
		MaxRunning:    p.hello.MaxRunning,
		Service:       p.hello.Service,
	})
	p.applyStatus(ctx, p.hello.Status)
	close(ready)
	return p, nil
}

// openConnection opens one connection. Its messages are handled once ready is closed.
func (p *peer) openConnection(ctx context.Context, additional bool, ready <-chan struct{}) (wire.HelloReply, error) {
	var reply wire.HelloReply
	d := net.Dialer{Timeout: dialTimeout}
	conn, err := d.DialContext(ctx, "tcp", p.box.Address)
	if err != nil {
		return reply, errors.Trace(err)
	}
	rpc := jsonrpc2.NewConn(ctx, wire.NewStream(conn), wire.Handler(
		func(ctx context.Context, r *jsonrpc2.Request) (any, error) {
			<-ready
			return p.handleMessage(ctx, r)
		}), jsonrpc2.SetLogger(logging.NewPrinter(p.entry.logger, "jsonrpc2")))
	p.connections = append(p.connections, rpc)
	callCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	err = rpc.Call(callCtx, wire.MethodHello, wire.Hello{
		Box:                  p.entry.settings.Box.ID,
		Config:               p.entry.follower.Watermark(),
		FailureDomain:        p.entry.settings.Box.FailureDomain,
		AdditionalConnection: additional,
		Protocol:             wire.Protocol,
		Session:              p.session,
	}, &reply)
	return reply, errors.Annotate(err, "hello")
}

// close closes all connections.
func (p *peer) close() {
	for _, rpc := range p.connections {
		_ = rpc.Close() // it may already be closed
	}
}

// run monitors the connections until one is closed or the agent is unreachable, as when its
// process is suspended.
func (p *peer) run(ctx context.Context) {
	defer p.close()
	disconnected := make(chan struct{}, connections)
	for _, rpc := range p.connections {
		go func() {
			<-rpc.DisconnectNotify()
			disconnected <- struct{}{}
		}()
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go p.entry.crashes.FollowOwn(ctx, func(records []crash.Record) error {
		return p.connections[0].Notify(ctx, wire.MethodCrashes, wire.Crashes{Records: records})
	})
	t := time.NewTicker(wire.HeartbeatInterval)
	defer t.Stop()
	lastWatermark := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-disconnected:
			return
		case <-t.C:
			if sinceContact := p.sinceContact(); sinceContact > p.contactTimeout() {
				p.entry.logger.Warn("agent is silent, connection closed", "agent", string(p.box.ID), "silence", sinceContact.String())
				return
			}
			if p.inflight.Load() > 0 || time.Since(lastWatermark) >= wire.IdleHeartbeatInterval {
				lastWatermark = time.Now()
				go p.sendWatermark()
			}
		}
	}
}

// recordContact records that a message has arrived from the agent.
func (p *peer) recordContact() {
	p.lastContact.Store(boottime.Now().UnixNano())
}

// sinceContact returns the time since the last message from the agent.
func (p *peer) sinceContact() time.Duration {
	return time.Duration(boottime.Now().UnixNano() - p.lastContact.Load())
}

// contactTimeout returns the time without a message from the agent after which it counts as
// unreachable.
func (p *peer) contactTimeout() time.Duration {
	if p.inflight.Load() > 0 {
		return wire.HeartbeatTimeout
	}
	return 3 * wire.IdleHeartbeatInterval
}

func (p *peer) sendWatermark() {
	_ = p.connections[0].Notify(context.Background(), wire.MethodWatermark, p.entry.follower.Watermark()) // useless if disconnected
}

func (p *peer) handleMessage(ctx context.Context, r *jsonrpc2.Request) (any, error) {
	p.recordContact()
	switch r.Method {
	case wire.MethodConfigPull:
		return wire.DeferReply(p.connections[0], r, func(q wire.ConfigPull) any { return wire.NewConfigReply(q, p.entry.follower.Snapshot()) })
	case wire.MethodCrashes:
		var m wire.Crashes
		if err := wire.Decode(r, &m); err != nil {
			return nil, err
		}
		p.entry.crashes.Merge(p, m.Records)
		return nil, nil
	case wire.MethodFrame:
		var f wire.Frame
		if err := wire.Decode(r, &f); err != nil {
			return nil, err
		}
		p.mu.Lock()
		s := p.streams[f.Handle]
		p.mu.Unlock()
		if s != nil {
			s.push(f)
		}
		return nil, nil
	case wire.MethodStatus:
		var s wire.Status
		if err := wire.Decode(r, &s); err != nil {
			return nil, err
		}
		p.applyStatus(ctx, s)
		return nil, nil
	}
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: r.Method}
}

func (p *peer) applyStatus(ctx context.Context, s wire.Status) {
	f := p.entry.fleet
	f.SetLoad(p.index, placement.Load{
		LoadTime:    wire.Duration(s.LoadWaitMS),
		Queued:      s.Queued,
		Running:     s.Running,
		ServiceTime: wire.Duration(s.RunTimeMS),
	})
	if s.Resident != nil {
		hashes := make([]uint64, len(s.Resident))
		for i, m := range s.Resident {
			hashes[i] = placement.HashModel(m)
		}
		f.SetResident(p.index, hashes)
	}
	f.SetAvailable(p.index, !s.Draining && !s.Unready && !p.entry.isDraining(p.box.ID))
	if p.entry.follower.MayLack(s.Config) {
		go p.pull(ctx, s)
	}
}

func (p *peer) pull(ctx context.Context, s wire.Status) {
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	if err := wire.PullConfig(ctx, p.connections[0], p.entry.follower, s.Config); err != nil {
		p.entry.logger.Warn("configuration not pulled from peer", "agent", string(p.box.ID), "error", err.Error())
	}
}

// attempt runs one attempt. If ctx ends before the result arrives, the attempt is revoked.
func (p *peer) attempt(ctx context.Context, req wire.AttemptRequest, s *responseStream) (wire.AttemptResult, error) {
	if p.inflight.Add(1) == 1 {
		// The agent sends heartbeats from now on.
		p.recordContact()
	}
	defer p.inflight.Add(-1)
	req.Handle = p.handle.Add(1)
	req.Incarnation = p.hello.Incarnation
	p.mu.Lock()
	p.streams[req.Handle] = s
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		delete(p.streams, req.Handle)
		p.mu.Unlock()
	}()
	rpc := p.connections[req.Handle%connections]
	call, err := rpc.DispatchCall(ctx, wire.MethodAttempt, req)
	if err != nil {
		return wire.AttemptResult{}, errors.Annotate(errNotSent, err.Error())
	}
	var result wire.AttemptResult
	if err = call.Wait(ctx, &result); err == nil {
		return result, nil
	}
	if ctx.Err() == nil {
		return result, errors.Annotate(errLost, err.Error())
	}
	return revoke(rpc, req, call, p.entry.lookupTime(revokeTimeout))
}

// revoke revokes an attempt. It uses the connection that carried the attempt, so the agent
// receives the revoke after it. If the attempt has finished in the meantime, its result is
// returned. It waits for the agent's reply for some time at most.
func revoke(rpc *jsonrpc2.Conn, req wire.AttemptRequest, call jsonrpc2.Waiter, atMost time.Duration) (wire.AttemptResult, error) {
	ctx, cancel := context.WithTimeout(context.Background(), atMost)
	defer cancel()
	var reply wire.RevokeReply
	err := rpc.Call(ctx, wire.MethodRevoke, wire.RevokeRequest{Attempt: req.Attempt, ID: req.ID}, &reply)
	if err == nil && reply.Outcome == sandbarrow.OutcomeNotRun {
		return wire.AttemptResult{}, errRevoked
	}
	if err != nil {
		return wire.AttemptResult{}, errors.Annotate(errLost, err.Error())
	}
	var result wire.AttemptResult
	if err := call.Wait(ctx, &result); err != nil {
		return result, errors.Annotate(errLost, err.Error())
	}
	return result, nil
}

// storedResponse requests the stored response of an at-most-once request.
func (p *peer) storedResponse(ctx context.Context, q wire.CachedResponseRequest) (wire.AttemptResult, error) {
	var result wire.AttemptResult
	if err := p.connections[0].Call(ctx, wire.MethodCachedResponse, q, &result); err != nil {
		return result, errors.Annotate(errLost, err.Error())
	}
	return result, nil
}
