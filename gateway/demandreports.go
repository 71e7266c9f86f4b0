package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/enginelink"
	"sandbarrow.example/sandbarrow/internal/boottime"
	"sandbarrow.example/sandbarrow/internal/pause"
	"sandbarrow.example/sandbarrow/sendkeepers"
	"sandbarrow.example/sandbarrow/wire"
)

const (
	// demandInterval is the mean interval between two reports of the demand. It is short compared
	// with the interval between two writes to the store.
	demandInterval = 2 * time.Second
	// maxReportedAdapters bounds the adapters of one report. Requests for further ones are not
	// counted until the next report.
	maxReportedAdapters = 1000
	// maxPreloads bounds the adapters of one answer to a controller. Each may need a round trip to a
	// coordinator.
	maxPreloads = 8
)

// demandReports counts the requests for adapters and reports them to two controllers of each
// service. It also tells engines that came back empty what to load. It is safe for concurrent use.
type demandReports struct {
	choice  sendkeepers.Choice[sandbarrow.ServiceID, *controllerLink]
	gateway *Gateway

	mu     sync.Mutex
	counts map[sandbarrow.ServiceID]map[sandbarrow.AdapterKey]int
}

func newDemandReports(g *Gateway) *demandReports {
	return &demandReports{gateway: g, counts: map[sandbarrow.ServiceID]map[sandbarrow.AdapterKey]int{}}
}

// count counts a request whose adapter an engine has, so adapters that don't exist are not counted.
// Nor are requests for a base model alone.
func (d *demandReports) count(id sandbarrow.ServiceID, key sandbarrow.AdapterKey) {
	if key.Adapter == "" {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	counts := d.counts[id]
	if counts == nil {
		counts = map[sandbarrow.AdapterKey]int{}
		d.counts[id] = counts
	}
	if _, known := counts[key]; known || len(counts) < maxReportedAdapters {
		counts[key]++
	}
}

// run reports the demand until ctx ends.
func (d *demandReports) run(ctx context.Context) error {
	for ctx.Err() == nil {
		pause.For(ctx, jitter(demandInterval))
		for id, counts := range d.take() {
			d.report(ctx, id, counts)
		}
	}
	return nil
}

// take returns the counts since the last report.
func (d *demandReports) take() map[sandbarrow.ServiceID]map[sandbarrow.AdapterKey]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	counts := d.counts
	d.counts = map[sandbarrow.ServiceID]map[sandbarrow.AdapterKey]int{}
	return counts
}

func (d *demandReports) report(ctx context.Context, id sandbarrow.ServiceID, counts map[sandbarrow.AdapterKey]int) {
	var q enginelink.ReportDemand
	for key, n := range counts {
		q.Adapters = append(q.Adapters, enginelink.AdapterRequests{Adapter: key.Adapter, Model: key.Model, Requests: n})
	}
	for i, l := range d.choice.Coordinators(id, d.gateway.engines.serviceLinks(boottime.Now(), id)) {
		q.First = i == 0
		if rpc := l.connection(); rpc != nil {
			_ = rpc.Notify(ctx, enginelink.MethodReportDemand, q) // the other controller has the same counts
		}
	}
}

// serviceLinks returns the links to the controllers of a service that are up.
func (e *engines) serviceLinks(now time.Time, id sandbarrow.ServiceID) []*controllerLink {
	seen := map[*controllerLink]bool{}
	var list []*controllerLink
	for _, m := range e.members(id) {
		if m.link != nil && !seen[m.link] && m.link.up(now) {
			seen[m.link] = true
			list = append(list, m.link)
		}
	}
	return list
}

// handlePreload serves the question of a controller which adapters its engine should load.
func (l *controllerLink) handlePreload(r *jsonrpc2.Request) (any, error) {
	rpc := l.connection()
	if r.Method != enginelink.MethodPreload || rpc == nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: r.Method}
	}
	return wire.DeferReply(rpc, r, func(q enginelink.Preload) any { return l.decidePreloads(&q) })
}

// decidePreloads decides which adapters an engine loads before they are requested: those that no
// other engine has, loads or is going to load. The coordinators learn of them, so that requests for them
// go to this engine.
func (l *controllerLink) decidePreloads(q *enginelink.Preload) enginelink.PreloadReply {
	g := l.gateway
	own, view := g.engines.instanceAt(q.Service, l), g.estate.View()
	if own == "" || view == nil {
		return enginelink.PreloadReply{} // this gateway does not know enough yet
	}
	reply := enginelink.PreloadReply{Self: l.address}
	queued := 0
	for _, other := range g.engines.serviceLinks(boottime.Now(), q.Service) {
		if s, usable := other.lastStatus(boottime.Now()); usable && !s.Draining && !s.EngineUnreachable {
			reply.Engines = append(reply.Engines, other.address)
			queued += s.Queued
		}
	}
	if reply.Later = queued > 0 && queued >= len(reply.Engines); reply.Later {
		return reply
	}
	for i, key := range q.Adapters[:min(len(q.Adapters), maxPreloads)] {
		version := view.MinVersion(key)
		if g.engines.anotherHas(l, q.Service, key, version) {
			continue
		}
		decided, _ := g.loads.claim(context.Background(), q.Service, enginelink.ClaimLoad{Adapter: key.Adapter, Instance: own, Model: key.Model, Version: version})
		if decided.Matches(own) {
			l.expectLoad(boottime.Now(), key, version)
			reply.Load = append(reply.Load, i)
		}
	}
	return reply
}

// instanceAt returns the engine beside a controller, as the controller reports it or else as listed;
// empty if there is none.
func (e *engines) instanceAt(id sandbarrow.ServiceID, l *controllerLink) sandbarrow.InstanceID {
	if s, usable := l.lastStatus(boottime.Now()); usable && s.Instance != "" {
		return s.Instance
	}
	for _, m := range e.members(id) {
		if m.link == l {
			return m.instance.ID
		}
	}
	return ""
}

// anotherHas reports whether an engine of a service has, loads or is going to load an adapter, beside
// the engine of one link.
func (e *engines) anotherHas(except *controllerLink, id sandbarrow.ServiceID, key sandbarrow.AdapterKey, v sandbarrow.AdapterVersion) bool {
	now := boottime.Now()
	for _, l := range e.serviceLinks(now, id) {
		if l != except && l.has(now, key, v) {
			return true
		}
	}
	return false
}

// has reports whether the engine has, loads or is going to load an adapter.
func (l *linkState) has(now time.Time, key sandbarrow.AdapterKey, v sandbarrow.AdapterVersion) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.status.Slot(key) != nil || l.expected.Has(now, key, v)
}
