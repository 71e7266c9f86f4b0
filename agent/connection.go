package agent

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/config"
	"sandbarrow.example/sandbarrow/crash"
	"sandbarrow.example/sandbarrow/internal/boottime"
	"sandbarrow.example/sandbarrow/logging"
	"sandbarrow.example/sandbarrow/wire"
)

const (
	// responseWait bounds how long a retry waits for the first run to finish.
	responseWait = 60 * time.Second
	// entryTimeout is the longest pause between messages of an entry: three idle heartbeats.
	entryTimeout = 3 * wire.IdleHeartbeatInterval
	// pullTimeout bounds a configuration pull from a peer.
	pullTimeout = 5 * time.Second
	// revokeWait bounds how long a revoke waits for a claim to be released.
	revokeWait = time.Second
)

// connection is the connection of one entry.
type connection struct {
	agent       *Agent
	lastContact atomic.Int64 // when the entry last sent a message, in nanoseconds of boot time
	rpc         *jsonrpc2.Conn

	// The agent's mu guards the fields below.
	additional      bool             // carries attempts only
	box             sandbarrow.BoxID // of the entry
	session         wire.SessionID   // of the entry; "" of a former build
	residentChanges int              // the value of Agent.residentChanges at the last list sent
	lastStatus      wire.Status
	lastStatusAt    time.Time
}

// accept serves entries until ctx ends.
func (a *Agent) accept(ctx context.Context) error {
	return wire.Accept(ctx, a.listener, a.logger, a.serve)
}

// serve serves one entry until it disconnects.
func (a *Agent) serve(ctx context.Context, conn net.Conn) {
	c := &connection{agent: a, residentChanges: -1}
	c.recordContact()
	ready := make(chan struct{})
	c.rpc = jsonrpc2.NewConn(ctx, wire.NewStream(conn), wire.Handler(
		func(ctx context.Context, r *jsonrpc2.Request) (any, error) {
			<-ready
			return c.handle(ctx, r)
		}), jsonrpc2.SetLogger(logging.NewPrinter(a.logger, "jsonrpc2")))
	close(ready)
	select {
	case <-c.rpc.DisconnectNotify():
	case <-ctx.Done():
	}
	_ = c.rpc.Close()
	a.dropConnection(c)
}

// dropConnection ends the attempts of an entry. Queued attempts never run. Running
// attempts are canceled, except at-most-once ones, whose responses are cached.
func (a *Agent) dropConnection(c *connection) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.conns, c)
	a.endSession(c)
	for _, at := range a.attempts {
		if at.conn != c {
			continue
		}
		switch {
		case at.state == attemptQueued:
			a.scheduler.Remove(at.ticket)
			a.endAttempt(at, resultOf(sandbarrow.NotRun(sandbarrow.ReasonRevoked, "the entry left", 0)))
		case at.req.AtMostOnceID == "":
			at.revoked = true
			at.cancel()
		}
	}
}

// endSession closes the additional connections of an entry whose first connection has ended. Nothing is
// sent on them while there are no attempts, so that their own silence shows nothing. The caller holds mu.
func (a *Agent) endSession(first *connection) {
	if first.additional || first.session == "" {
		return
	}
	for c := range a.conns {
		if c.session == first.session {
			go c.rpc.Close()
		}
	}
}

func (c *connection) notify(method string, params any) error {
	return c.rpc.Notify(context.Background(), method, params)
}

// handle serves one message. It must not block because it delays all later messages
// of the connection. Methods that take time reply from another goroutine.
func (c *connection) handle(ctx context.Context, r *jsonrpc2.Request) (any, error) {
	c.recordContact()
	switch r.Method {
	case wire.MethodAttempt:
		return nil, c.handleAttempt(r)
	case wire.MethodCachedResponse:
		return wire.DeferReply(c.rpc, r, func(q wire.CachedResponseRequest) any { return c.agent.cachedResponse(ctx, q) })
	case wire.MethodConfigPull:
		return wire.DeferReply(c.rpc, r, func(q wire.ConfigPull) any { return wire.NewConfigReply(q, c.agent.follower.Snapshot()) })
	case wire.MethodCrashes:
		var m wire.Crashes
		if err := wire.Decode(r, &m); err != nil {
			return nil, err
		}
		c.agent.crashes.Merge(c, m.Records)
		return nil, nil
	case wire.MethodHello:
		return c.handleHello(ctx, r)
	case wire.MethodWatermark:
		var m config.Watermark
		if err := wire.Decode(r, &m); err != nil {
			return nil, err
		}
		go c.pullConfig(ctx, m)
		return nil, nil
	case wire.MethodRevoke:
		return wire.DeferReply(c.rpc, r, func(q wire.RevokeRequest) any {
			ctx, cancel := context.WithTimeout(ctx, revokeWait)
			defer cancel()
			return c.agent.revoke(ctx, attemptKey{id: q.ID, attempt: q.Attempt})
		})
	}
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: r.Method}
}

func (c *connection) handleAttempt(r *jsonrpc2.Request) error {
	var req wire.AttemptRequest
	if err := wire.Decode(r, &req); err != nil {
		return err
	}
	c.agent.receive(c, req, func(result wire.AttemptResult) {
		_ = c.rpc.Reply(context.Background(), r.ID, result) // the entry may have disconnected
	})
	return wire.ErrDeferredReply
}

func (c *connection) handleHello(ctx context.Context, r *jsonrpc2.Request) (any, error) {
	var h wire.Hello
	if err := wire.Decode(r, &h); err != nil {
		return nil, err
	}
	if h.Protocol != wire.Protocol {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidRequest, Message: "protocol version differs"}
	}
	a := c.agent
	u := a.settings.Agent.Upstream
	a.mu.Lock()
	defer a.mu.Unlock()
	c.box, c.session, c.additional = h.Box, h.Session, h.AdditionalConnection
	a.conns[c] = struct{}{}
	if !c.additional {
		go a.crashes.Follow(ctx, c, func(records []crash.Record) error {
			return c.notify(wire.MethodCrashes, wire.Crashes{Records: records})
		})
		go c.pullConfig(ctx, h.Config)
	}
	return wire.HelloReply{
		BaseModel:     u.BaseModel,
		Box:           a.settings.Box.ID,
		FailureDomain: a.settings.Box.FailureDomain,
		Incarnation:   a.incarnation,
		MaxRunning:    u.MaxRunning,
		Protocol:      wire.Protocol,
		Service:       u.Service,
		Status:        a.status(c),
		Upstream:      u.ID,
	}, nil
}

// pullConfig fetches the entry's configuration if it is newer than the agent's.
func (c *connection) pullConfig(ctx context.Context, m config.Watermark) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	if err := wire.PullConfig(ctx, c.rpc, c.agent.follower, m); err != nil {
		c.agent.logger.Warn("configuration not pulled from peer", "revision", m.Revision, "error", err.Error())
	}
}

// cachedResponse returns the cached response of an at-most-once request.
func (a *Agent) cachedResponse(ctx context.Context, q wire.CachedResponseRequest) wire.AttemptResult {
	ctx, cancel := context.WithTimeout(ctx, responseWait)
	defer cancel()
	result, c, ok := a.responses.get(ctx, q.ID, q.Claim)
	switch {
	case !ok:
		return resultOf(sandbarrow.Unknown(sandbarrow.ReasonClaimed, "an earlier request under this key may have run; its answer is not kept", 0))
	case c.Body != q.Body:
		return resultOf(sandbarrow.NotRun(sandbarrow.ReasonBadRequest, "another request used this key", 0))
	}
	return result
}

// statusLoop sends each entry the agent's status, which also serves as the heartbeat.
// It sends often while the entry has work here or the status changes, and rarely otherwise.
func (a *Agent) statusLoop(ctx context.Context) error {
	t := time.NewTicker(wire.HeartbeatInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			a.broadcastStatus()
		}
	}
}

func (a *Agent) broadcastStatus() {
	now := boottime.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.dropExpiredTombstones(now)
	working := map[sandbarrow.BoxID]bool{}
	for _, at := range a.attempts {
		working[at.conn.box] = true
	}
	for c := range a.conns {
		if c.additional {
			continue // an entry may have no attempt for it
		}
		if c.sinceLastContact() > entryTimeout {
			a.logger.Warn("entry heartbeat timeout, connection closed")
			go c.rpc.Close()
			continue
		}
		s := a.status(c)
		if working[c.box] || !s.UnchangedFrom(&c.lastStatus) || now.Sub(c.lastStatusAt) >= wire.IdleHeartbeatInterval {
			c.lastStatus, c.lastStatusAt = s, now
			go func() { _ = c.notify(wire.MethodStatus, s) }()
		}
	}
}

// recordContact records that the entry has sent a message.
func (c *connection) recordContact() {
	c.lastContact.Store(boottime.Now().UnixNano())
}

// sinceLastContact returns the time since the entry's last message.
func (c *connection) sinceLastContact() time.Duration {
	return time.Duration(boottime.Now().UnixNano() - c.lastContact.Load())
}

// status returns the status for one entry. The caller holds mu.
func (a *Agent) status(c *connection) wire.Status {
	st := a.scheduler.Stats(boottime.Now())
	s := wire.Status{
		Config:     a.follower.Watermark(),
		Draining:   a.draining || a.admissions.draining(),
		LoadWaitMS: wire.Millis(st.LoadWait),
		Queued:     st.Queued,
		Running:    st.Running,
		RunTimeMS:  wire.Millis(st.RunTime),
		Unready:    a.unready,
	}
	if c.residentChanges != a.residentChanges {
		c.residentChanges = a.residentChanges
		s.Resident = a.scheduler.Resident()
	}
	return s
}
