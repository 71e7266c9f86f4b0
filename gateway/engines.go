package gateway

import (
	"context"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/enginelink"
	"sandbarrow.example/sandbarrow/forward"
	"sandbarrow.example/sandbarrow/internal/pause"
	"sandbarrow.example/sandbarrow/wire"
)

const (
	// enginesPause is the pause between looks at the directory.
	enginesPause = 100 * time.Millisecond
	// redialPause is the mean pause after a failed or lost link.
	redialPause = 150 * time.Millisecond
	// A gateway of which at least isolatedLeast links were up is isolated when
	// isolatedSilent of isolatedOf are silent.
	isolatedLeast  = 3
	isolatedSilent = 4
	isolatedOf     = 5
	// acquireSlack is how much longer than its wait an acquire may take.
	acquireSlack = 250 * time.Millisecond
)

// engines keeps a link to the controller of each engine.
type engines struct {
	gateway *Gateway

	mu    sync.Mutex
	links map[string]*engineLink
}

func newEngines(g *Gateway) *engines {
	return &engines{gateway: g, links: map[string]*engineLink{}}
}

// engineLink is the link to one controller.
type engineLink struct {
	address string
	cancel  context.CancelFunc
	gateway *Gateway

	mu     sync.Mutex
	heard  time.Time
	memory adapterMemory
	rpc    *jsonrpc2.Conn
	status enginelink.Status
	// waiting are the prompts granted to this gateway whose answer has not
	// begun, told the part that the last status counts already.
	waiting, told int
	// using are the granted uses, to be told to a controller that starts anew.
	using map[sandbarrow.RequestID]*enginelink.Acquire
}

// controllerAddress is where the controller of an engine listens.
func (g *Gateway) controllerAddress(engine string) string {
	host, _, err := net.SplitHostPort(engine)
	if err != nil {
		return ""
	}
	return net.JoinHostPort(host, g.config.ControllerPort)
}

// link returns the link for an engine's address, or nil.
func (e *engines) link(engine string) *engineLink {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.links[e.gateway.controllerAddress(engine)]
}

// isolated reports whether links were up and most fell silent: then it is
// this gateway that is cut off, and callers fare better at another.
func (e *engines) isolated() bool {
	now := time.Now()
	known, silent := 0, 0
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, l := range e.links {
		if !l.known() {
			continue
		}
		known++
		if !l.up(now) {
			silent++
		}
	}
	return known >= isolatedLeast && silent*isolatedOf >= known*isolatedSilent
}

// gateways is how many gateways there are, as the controllers see them; 0 while
// no controller was heard of.
func (e *engines) gateways() int {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	most := 0
	for _, l := range e.links {
		if s, up := l.look(now); up {
			most = max(most, s.Gateways)
		}
	}
	return most
}

// anyUp reports whether any controller was heard of lately.
func (e *engines) anyUp() bool {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, l := range e.links {
		if l.up(now) {
			return true
		}
	}
	return false
}

// run keeps the links in line with the directory until ctx ends.
func (e *engines) run(ctx context.Context) error {
	for ctx.Err() == nil {
		e.adjust(ctx)
		pause.For(ctx, enginesPause)
	}
	return nil
}

func (e *engines) adjust(ctx context.Context) {
	view := e.gateway.estate.View()
	list := e.gateway.directory.View()
	if view == nil || list == nil {
		return
	}
	wanted := map[string]bool{}
	for _, in := range list.All() {
		if s := view.Table.Services[in.Service]; s != nil && s.Engine != nil {
			wanted[e.gateway.controllerAddress(in.Address)] = true
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for address := range wanted {
		if e.links[address] == nil {
			linkCtx, cancel := context.WithCancel(ctx)
			l := &engineLink{address: address, cancel: cancel, gateway: e.gateway}
			e.links[address] = l
			go l.run(linkCtx)
		}
	}
	for address, l := range e.links {
		if !wanted[address] && !l.up(time.Now()) {
			l.cancel()
			delete(e.links, address)
		}
	}
}

// run keeps the link until ctx ends.
func (l *engineLink) run(ctx context.Context) {
	dialer := net.Dialer{Timeout: forward.DialTimeout, KeepAlive: -1}
	for ctx.Err() == nil {
		conn, err := dialer.DialContext(ctx, "tcp", l.address)
		if err == nil {
			l.serve(ctx, conn)
		}
		pause.For(ctx, jitter(redialPause))
	}
}

// serve works over one connection until it ends or falls silent.
func (l *engineLink) serve(ctx context.Context, conn net.Conn) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ready := make(chan struct{})
	rpc := jsonrpc2.NewConn(ctx, wire.NewStream(conn), wire.Handler(func(_ context.Context, r *jsonrpc2.Request) (any, error) {
		<-ready
		return l.handle(ctx, r)
	}))
	defer rpc.Close()
	l.mu.Lock()
	l.rpc, l.heard = rpc, time.Now()
	hello := enginelink.Hello{Box: l.gateway.config.Box, Token: l.status.Token}
	using := slices.Collect(maps.Values(l.using))
	l.mu.Unlock()
	close(ready)
	if rpc.Notify(ctx, enginelink.MethodHello, hello) != nil {
		return
	}
	for _, q := range using {
		if rpc.Notify(ctx, enginelink.MethodUsing, q) != nil {
			return
		}
	}
	go enginelink.TellMarks(ctx, rpc, l.gateway.estate)
	l.gateway.logger.Info("controller linked", "controller", l.address)
	for l.up(time.Now()) {
		select {
		case <-rpc.DisconnectNotify():
			l.lost("disconnected")
			return
		case <-ctx.Done():
			return
		case <-time.After(enginelink.Heartbeat):
		}
	}
	l.lost("silent")
}

func (l *engineLink) lost(how string) {
	l.mu.Lock()
	l.rpc = nil
	l.mu.Unlock()
	l.gateway.logger.Warn("controller lost", "controller", l.address, "how", how)
}

func (l *engineLink) handle(ctx context.Context, r *jsonrpc2.Request) (any, error) {
	switch r.Method {
	case enginelink.MethodStatus:
		var s enginelink.Status
		if err := wire.Decode(r, &s); err != nil {
			return nil, err
		}
		s.Expand()
		l.mu.Lock()
		l.take(s)
		l.mu.Unlock()
		return nil, nil
	case enginelink.MethodMark:
		var m enginelink.Mark
		if err := wire.Decode(r, &m); err != nil {
			return nil, err
		}
		l.mu.Lock()
		rpc := l.rpc
		l.mu.Unlock()
		if rpc != nil {
			go enginelink.TakeMark(ctx, rpc, l.gateway.estate, m)
		}
		return nil, nil
	case enginelink.MethodFetch:
		l.mu.Lock()
		rpc := l.rpc
		l.mu.Unlock()
		return enginelink.ServeFetch(rpc, r, l.gateway.estate)
	}
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: r.Method}
}

// take takes a status. The caller holds mu.
func (l *engineLink) take(s enginelink.Status) {
	if len(s.Models) == 0 {
		l.memory.forget()
	}
	l.memory.note(func(yield func(sandbarrow.AdapterKey) bool) {
		for i := range s.Slots {
			if !yield(s.Slots[i].Key()) {
				return
			}
		}
	})
	l.status, l.heard, l.told = s, time.Now(), l.waiting
}

// await counts the prompt of a request that the engine has yet to read, or no
// longer has where tokens is negative.
func (l *engineLink) await(tokens int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.waiting += tokens
}

// waitingTokens estimates the prompts that the engine has yet to read, from all
// gateways by the last status and from this one since then.
func (l *engineLink) waitingTokens() int {
	if l == nil {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(0, l.status.WaitingTokens+l.waiting-l.told)
}

// remembers reports whether the engine's memory should still hold an adapter.
func (l *engineLink) remembers(k sandbarrow.AdapterKey) bool {
	if l == nil {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.memory.has(k)
}

// age is how old the last status is.
func (l *engineLink) age() time.Duration {
	if l == nil {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Since(l.heard)
}

// known reports whether the controller was ever heard of.
func (l *engineLink) known() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.heard.IsZero()
}

// up reports whether the controller was heard of lately.
func (l *engineLink) up(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rpc != nil && now.Sub(l.heard) < enginelink.Silence
}

// look returns the last status, and whether the link is up.
func (l *engineLink) look(now time.Time) (enginelink.Status, bool) {
	if l == nil {
		return enginelink.Status{}, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.status, l.rpc != nil && now.Sub(l.heard) < enginelink.Silence && len(l.status.Models)+len(l.status.Slots) > 0
}

// acquire asks for the use of an adapter. ok is false when the controller did
// not answer in time.
func (l *engineLink) acquire(ctx context.Context, q *enginelink.Acquire) (g enginelink.Grant, ok bool) {
	l.mu.Lock()
	rpc := l.rpc
	l.mu.Unlock()
	if rpc == nil {
		return g, false
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(q.WaitMS)*time.Millisecond+enginelink.LoadPatience+acquireSlack)
	defer cancel()
	err := rpc.Call(ctx, enginelink.MethodAcquire, q, &g)
	if err != nil {
		// The grant may still come; it must not hold its slot.
		_ = rpc.Notify(context.WithoutCancel(ctx), enginelink.MethodDone, enginelink.Use{ID: q.ID})
	}
	if err == nil && g.Refused == "" {
		l.note(q)
	}
	return g, err == nil
}

// note keeps a granted use.
func (l *engineLink) note(q *enginelink.Acquire) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.using == nil {
		l.using = map[sandbarrow.RequestID]*enginelink.Acquire{}
	}
	l.using[q.ID] = q
}

// tell notes the progress of a granted use.
func (l *engineLink) tell(method string, id sandbarrow.RequestID) {
	l.mu.Lock()
	rpc := l.rpc
	if method == enginelink.MethodDone {
		delete(l.using, id)
	}
	l.mu.Unlock()
	if rpc != nil {
		_ = rpc.Notify(context.Background(), method, enginelink.Use{ID: id}) // a lost link frees all uses
	}
}
