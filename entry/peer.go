package entry

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

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
	// dialTimeout bounds the opening of a connection.
	dialTimeout = time.Second
	// lanes is the number of connections to one agent. One connection decodes
	// its messages one by one, which bounds it to about 12,000 requests a second.
	lanes = 4
	// revokeTimeout bounds the wait for a revoke's reply.
	revokeTimeout = 1500 * time.Millisecond
)

// The errors of a peer.
const (
	// errLost means that the connection ended after the attempt was sent.
	errLost = errors.ConstError("entry: connection to the agent lost")
	// errNotSent means that nothing of the attempt was sent.
	errNotSent = errors.ConstError("entry: attempt not sent")
	// errRevoked means that the attempt was withdrawn and never runs.
	errRevoked = errors.ConstError("entry: attempt revoked")
)

// peer is the link to one agent. Lane 0 carries its status too.
type peer struct {
	box         sandbarrow.Box
	entry       *Entry
	handle      atomic.Uint64
	lastContact atomic.Int64 // when the last message came, in nanoseconds of boottime
	hello       wire.HelloReply
	index       int
	inflight    atomic.Int64
	lanes       []*jsonrpc2.Conn

	mu      sync.Mutex
	streams map[uint64]*answerStream
}

// dial opens the lanes and exchanges greetings.
func (e *Entry) dial(ctx context.Context, box sandbarrow.Box) (*peer, error) {
	p := &peer{box: box, entry: e, streams: map[uint64]*answerStream{}}
	p.contact()
	ready := make(chan struct{})
	for i := range lanes {
		reply, err := p.openLane(ctx, i > 0, ready)
		if err == nil && i > 0 && reply.Incarnation != p.hello.Incarnation {
			err = errors.New("the agent was replaced meanwhile")
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

// openLane opens one connection. Its messages are served once ready is closed.
func (p *peer) openLane(ctx context.Context, further bool, ready <-chan struct{}) (wire.HelloReply, error) {
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
	p.lanes = append(p.lanes, rpc)
	callCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	err = rpc.Call(callCtx, wire.MethodHello, wire.Hello{
		Box:           p.entry.settings.Box.ID,
		Config:        p.entry.follower.Watermark(),
		FailureDomain: p.entry.settings.Box.FailureDomain,
		Lane:          further,
		Protocol:      wire.Protocol,
	}, &reply)
	return reply, errors.Annotate(err, "hello")
}

// close closes all lanes.
func (p *peer) close() {
	for _, rpc := range p.lanes {
		_ = rpc.Close() // it may be closed already
	}
}

// run watches the lanes until one ends. A frozen agent counts as unreachable.
func (p *peer) run(ctx context.Context) {
	defer p.close()
	ended := make(chan struct{}, lanes)
	for _, rpc := range p.lanes {
		go func() {
			<-rpc.DisconnectNotify()
			ended <- struct{}{}
		}()
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go p.entry.crashes.FollowOwn(ctx, func(records []crash.Record) error {
		return p.lanes[0].Notify(ctx, wire.MethodCrashes, wire.Crashes{Records: records})
	})
	t := time.NewTicker(wire.Heartbeat)
	defer t.Stop()
	marked := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ended:
			return
		case <-t.C:
			if silence := p.silence(); silence > p.patience() {
				p.entry.logger.Warn("agent is silent, connection closed", "agent", string(p.box.ID), "silence", silence.String())
				return
			}
			if p.inflight.Load() > 0 || time.Since(marked) >= wire.IdleHeartbeat {
				marked = time.Now()
				go p.sendMark()
			}
		}
	}
}

// contact notes that a message has arrived from the agent.
func (p *peer) contact() {
	p.lastContact.Store(boottime.Now().UnixNano())
}

// silence is for how long nothing has arrived from the agent.
func (p *peer) silence() time.Duration {
	return time.Duration(boottime.Now().UnixNano() - p.lastContact.Load())
}

// patience is how long nothing may arrive from the agent before it counts as
// unreachable.
func (p *peer) patience() time.Duration {
	if p.inflight.Load() > 0 {
		return wire.HeartbeatTimeout
	}
	return 3 * wire.IdleHeartbeat
}

func (p *peer) sendMark() {
	_ = p.lanes[0].Notify(context.Background(), wire.MethodMark, p.entry.follower.Watermark()) // a lost peer needs none
}

func (p *peer) handleMessage(ctx context.Context, r *jsonrpc2.Request) (any, error) {
	p.contact()
	switch r.Method {
	case wire.MethodConfigPull:
		return wire.Later(p.lanes[0], r, func(q wire.ConfigPull) any { return wire.ReplyTo(q, p.entry.follower.Snapshot()) })
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
		LoadTime:    wire.Duration(s.LoadMS),
		Queued:      s.Queued,
		Running:     s.Running,
		ServiceTime: wire.Duration(s.ServiceMS),
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
	if err := wire.PullConfig(ctx, p.lanes[0], p.entry.follower, s.Config); err != nil {
		p.entry.logger.Warn("configuration not pulled from peer", "agent", string(p.box.ID), "error", err.Error())
	}
}

// attempt runs one attempt. When ctx ends first it is revoked.
func (p *peer) attempt(ctx context.Context, req wire.AttemptRequest, s *answerStream) (wire.AttemptResult, error) {
	if p.inflight.Add(1) == 1 {
		// The agent sends heartbeats from now on.
		p.contact()
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
	rpc := p.lanes[req.Handle%lanes]
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
	return giveUp(rpc, req, call)
}

// giveUp revokes an attempt on the lane that carried it, behind it. If it has ended meanwhile, its result counts.
func giveUp(rpc *jsonrpc2.Conn, req wire.AttemptRequest, call jsonrpc2.Waiter) (wire.AttemptResult, error) {
	ctx, cancel := context.WithTimeout(context.Background(), revokeTimeout)
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

// answer asks for the kept answer of a once-only request.
func (p *peer) answer(ctx context.Context, q wire.AnswerRequest) (wire.AttemptResult, error) {
	var result wire.AttemptResult
	if err := p.lanes[0].Call(ctx, wire.MethodAnswer, q, &result); err != nil {
		return result, errors.Annotate(errLost, err.Error())
	}
	return result, nil
}
