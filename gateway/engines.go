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
	// linkUpdateInterval is the interval between two checks of the list of upstreams.
	linkUpdateInterval = 100 * time.Millisecond
	// minIsolationLinks is the number of links that must have been up before a gateway can count as
	// isolated. Fewer links may all be down for independent reasons.
	minIsolationLinks = 3
	// A gateway is isolated if at least isolationNumerator/isolationDenominator of its links are
	// down.
	isolationNumerator   = 4
	isolationDenominator = 5
)

// engines keeps a link to the controller of each engine.
type engines struct {
	roster  atomic.Pointer[roster]
	gateway *Gateway

	mu    sync.Mutex
	links map[string]*controllerLink
}

// roster holds the engines of one list of upstreams with their links. It is immutable.
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

// controllerAddress returns the address of the controller of an engine.
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
	r := e.roster.Load()
	if r == nil || r.list != list {
		r = e.newRoster(list)
		e.roster.Store(r)
	}
	return r.byService[id]
}

func (e *engines) newRoster(list *directory.View) *roster {
	r := &roster{byService: map[sandbarrow.ServiceID][]member{}, list: list}
	for _, in := range list.All() {
		m := member{instance: in, link: e.link(in.Address)}
		r.byService[in.Service] = append(r.byService[in.Service], m)
	}
	return r
}

// isolated reports whether most links that were up are down. In this case the gateway itself is cut
// off, and callers are better served by another one.
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

// isIsolated decides whether a gateway is cut off, from the number of links that were ever up and
// the number of those that are down now.
func isIsolated(known, down int) bool {
	return known >= minIsolationLinks && down*isolationDenominator >= known*isolationNumerator
}

// gateways returns the number of gateways as reported by the controllers; 0 while no controller is
// linked.
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

// medianSpeed returns the median prefill speed of the engines seen so far; zero if there is none. A
// controller that has just started uses it as its first estimate.
func (e *engines) medianSpeed() readspeed.Speed {
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

// run updates the links from the directory until ctx ends.
func (e *engines) run(ctx context.Context) error {
	for ctx.Err() == nil {
		e.updateLinks(ctx)
		pause.For(ctx, linkUpdateInterval)
	}
	return nil
}

func (e *engines) updateLinks(ctx context.Context) {
	view := e.gateway.estate.View()
	list := e.gateway.directory.View()
	if view == nil || list == nil {
		return
	}
	needed := map[string]sandbarrow.FailureDomain{}
	for _, in := range list.All() {
		if s := view.Table.Services[in.Service]; s != nil && s.Engine != nil {
			needed[e.gateway.controllerAddress(in.Address)] = in.FailureDomain
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for address, domain := range needed {
		if e.links[address] == nil {
			linkCtx, cancel := context.WithCancel(ctx)
			l := &controllerLink{address: address, cancel: cancel, domain: domain, gateway: e.gateway}
			e.links[address] = l
			e.roster.Store(nil)
			go l.run(linkCtx)
		}
	}
	for address, l := range e.links {
		if _, listed := needed[address]; !listed && !l.up(boottime.Now()) {
			l.cancel()
			delete(e.links, address)
			e.roster.Store(nil)
		}
	}
}
