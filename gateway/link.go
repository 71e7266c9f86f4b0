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
	"sandbarrow.example/sandbarrow/directory"
	"sandbarrow.example/sandbarrow/enginelink"
	"sandbarrow.example/sandbarrow/forward"
	"sandbarrow.example/sandbarrow/internal/pause"
	"sandbarrow.example/sandbarrow/recall"
	"sandbarrow.example/sandbarrow/wire"
)

const (
	// redialPause is the mean pause after a failed or lost link.
	redialPause = 150 * time.Millisecond
	// acquireSlack is how much longer than its wait an acquire may take.
	acquireSlack = 250 * time.Millisecond
)

// engineLink is the link to one controller.
type engineLink struct {
	address string
	cancel  context.CancelFunc
	gateway *Gateway

	mu     sync.Mutex
	heard  time.Time
	memory recall.Memory
	rpc    *jsonrpc2.Conn
	status enginelink.Status
	// waiting are this gateway's prompts that were asked for here and whose answer
	// has not begun, told the part that the last status counts already.
	waiting, told int
	// using are the uses that a controller which is linked anew must be told of.
	using map[sandbarrow.RequestID]*enginelink.Acquire
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
		l.mu.Lock()
		s.Expand(&l.status)
		l.take(s)
		l.mu.Unlock()
		return nil, nil
	case enginelink.MethodListed:
		var change directory.Change
		if err := wire.Decode(r, &change); err != nil {
			return nil, err
		}
		l.gateway.directory.Learn(change)
		return nil, nil
	case enginelink.MethodMark:
		var m enginelink.Mark
		if err := wire.Decode(r, &m); err != nil {
			return nil, err
		}
		if rpc := l.connection(); rpc != nil {
			go enginelink.TakeMark(ctx, rpc, l.gateway.estate, m, enginelink.WatchLead)
		}
		return nil, nil
	case enginelink.MethodFetch:
		return enginelink.ServeFetch(l.connection(), r, l.gateway.estate)
	}
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: r.Method}
}

// take takes a status. The caller holds mu.
func (l *engineLink) take(s enginelink.Status) {
	if len(s.Models) == 0 {
		l.memory.Forget()
	}
	l.memory.Note(func(yield func(sandbarrow.AdapterKey) bool) {
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
	return l.awaited()
}

// awaited is waitingTokens for a caller that holds mu.
func (l *engineLink) awaited() int {
	return max(0, l.status.WaitingTokens+l.waiting-l.told)
}

// answers reports whether the link is up and its engine has told what it
// holds. The caller holds mu.
func (l *engineLink) answers(now time.Time) bool {
	return l.alive(now) && len(l.status.Models)+len(l.status.Slots) > 0
}

// linkView is what one look at a link tells of its engine.
type linkView struct {
	// linked says that the controller was heard of lately.
	linked bool
	// recalled says that the engine's own memory should hold the adapter asked for.
	recalled bool
	status   enginelink.Status
	// waiting estimates the prompt tokens that the engine has yet to read.
	waiting int
}

// view looks at the engine on behalf of a request for an adapter.
func (l *engineLink) view(now time.Time, k sandbarrow.AdapterKey) linkView {
	if l == nil {
		return linkView{}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return linkView{linked: l.answers(now), recalled: l.memory.Has(k), status: l.status, waiting: l.awaited()}
}

// learnWaiting takes the controller's own count of the prompt tokens that wait.
func (l *engineLink) learnWaiting(tokens int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.status.WaitingTokens, l.told = tokens, l.waiting
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

// connection returns the connection to the controller, or nil.
func (l *engineLink) connection() *jsonrpc2.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rpc
}

// up reports whether the controller was heard of lately.
func (l *engineLink) up(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.alive(now)
}

// alive is up for a caller that holds mu.
func (l *engineLink) alive(now time.Time) bool {
	return l.rpc != nil && now.Sub(l.heard) < enginelink.Silence
}

// look returns the last status, and whether the link is up.
func (l *engineLink) look(now time.Time) (enginelink.Status, bool) {
	if l == nil {
		return enginelink.Status{}, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.status, l.answers(now)
}

// acquire asks for the use of an adapter. ok is false when the controller did
// not answer in time.
func (l *engineLink) acquire(ctx context.Context, q *enginelink.Acquire) (g enginelink.Grant, ok bool) {
	rpc := l.connection()
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

// note keeps a use that was granted, or begun without the controller.
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
		_ = rpc.Notify(context.Background(), method, enginelink.Use{ID: id}) // a lost link frees its uses after a moment
	}
}
