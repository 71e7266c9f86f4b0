package gateway

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/directory"
	"sandbarrow.example/sandbarrow/forward"
	"sandbarrow.example/sandbarrow/internal/pause"
)

const (
	// enginesPause is the pause between looks at the directory.
	enginesPause = 100 * time.Millisecond
	// A gateway of which at least isolatedLeast links were up is isolated when
	// isolatedSilent of isolatedOf are silent.
	isolatedLeast  = 3
	isolatedSilent = 4
	isolatedOf     = 5
)

// engines keeps a link to the controller of each engine.
type engines struct {
	roster  atomic.Pointer[roster]
	gateway *Gateway

	mu    sync.Mutex
	links map[string]*engineLink
}

// roster is the engines of one list of upstreams with their links. It is
// immutable.
type roster struct {
	byService map[sandbarrow.ServiceID][]member
	list      *directory.View
}

// member is one engine of a roster.
type member struct {
	hash     uint64
	instance *sandbarrow.Instance
	// link is nil until the engine's controller is dialled.
	link *engineLink
	pool *forward.Pool
}

func newEngines(g *Gateway) *engines {
	return &engines{gateway: g, links: map[string]*engineLink{}}
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

// members returns the engines of a service under the list in force.
func (e *engines) members(id sandbarrow.ServiceID) []member {
	list := e.gateway.directory.View()
	f := e.roster.Load()
	if f == nil || f.list != list {
		f = e.newRoster(list)
		e.roster.Store(f)
	}
	return f.byService[id]
}

func (e *engines) newRoster(list *directory.View) *roster {
	f := &roster{byService: map[sandbarrow.ServiceID][]member{}, list: list}
	for _, in := range list.All() {
		m := member{hash: xxhash.Sum64String(in.Address), instance: in, link: e.link(in.Address), pool: e.gateway.pool(in)}
		f.byService[in.Service] = append(f.byService[in.Service], m)
	}
	return f
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
			e.roster.Store(nil)
			go l.run(linkCtx)
		}
	}
	for address, l := range e.links {
		if !wanted[address] && !l.up(time.Now()) {
			l.cancel()
			delete(e.links, address)
			e.roster.Store(nil)
		}
	}
}
