package gateway

import (
	"cmp"
	"context"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/directory"
	"sandbarrow.example/sandbarrow/internal/boottime"
	"sandbarrow.example/sandbarrow/internal/pause"
	"sandbarrow.example/sandbarrow/readspeed"
)

const (
	// enginesPause is the pause between two looks at the list of upstreams.
	enginesPause = 100 * time.Millisecond
	// isolatedLeast is how many links must have been up for a gateway to be isolated: of fewer, all
	// may be down for reasons of their own.
	isolatedLeast = 3
	// isolatedDown of isolatedOf links down make a gateway isolated.
	isolatedDown = 4
	isolatedOf   = 5
)

// engines keeps a link to the controller of each engine.
type engines struct {
	roster  atomic.Pointer[roster]
	gateway *Gateway

	mu    sync.Mutex
	links map[string]*controllerLink
}

// roster is the engines of one list of upstreams with their links. It is
// immutable.
type roster struct {
	byService map[sandbarrow.ServiceID][]member
	list      *directory.View
}

// member is one engine of a roster.
type member struct {
	instance *sandbarrow.Instance
	// link is nil until the engine's controller is dialled.
	link *controllerLink
}

func newEngines(g *Gateway) *engines {
	return &engines{gateway: g, links: map[string]*controllerLink{}}
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
func (e *engines) link(engine string) *controllerLink {
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
		m := member{instance: in, link: e.link(in.Address)}
		f.byService[in.Service] = append(f.byService[in.Service], m)
	}
	return f
}

// isolated reports whether most links that were up are down: then it is this
// gateway that is cut off, and callers fare better at another.
func (e *engines) isolated() bool {
	now := boottime.Now()
	known, down := 0, 0
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, l := range e.links {
		if !l.everUp() {
			continue
		}
		known++
		if !l.up(now) {
			down++
		}
	}
	return isIsolated(known, down)
}

// isIsolated decides whether a gateway is cut off, by the links that were ever up
// and those of them that are down now.
func isIsolated(known, down int) bool {
	return known >= isolatedLeast && down*isolatedOf >= known*isolatedDown
}

// gateways is how many gateways there are, as the controllers see them; 0 while
// no controller is linked.
func (e *engines) gateways() int {
	now := boottime.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	most := 0
	for _, l := range e.links {
		if s, up := l.lastStatus(now); up {
			most = max(most, s.Gateways)
		}
	}
	return most
}

// typicalSpeed is the speed of an engine in the middle of those seen; zero where none
// was. A controller that has just started begins with it.
func (e *engines) typicalSpeed() readspeed.Speed {
	var seen []readspeed.Speed
	e.mu.Lock()
	for _, l := range e.links {
		if s := l.speed(); s.PerToken > 0 {
			seen = append(seen, s)
		}
	}
	e.mu.Unlock()
	if len(seen) == 0 {
		return readspeed.Speed{}
	}
	slices.SortFunc(seen, func(a, b readspeed.Speed) int { return cmp.Compare(a.PerToken, b.PerToken) })
	return seen[len(seen)/2]
}

// anyUp reports whether any link is up.
func (e *engines) anyUp() bool {
	now := boottime.Now()
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
			l := &controllerLink{address: address, cancel: cancel, gateway: e.gateway}
			e.links[address] = l
			e.roster.Store(nil)
			go l.run(linkCtx)
		}
	}
	for address, l := range e.links {
		if !wanted[address] && !l.up(boottime.Now()) {
			l.cancel()
			delete(e.links, address)
			e.roster.Store(nil)
		}
	}
}
