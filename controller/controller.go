// Package controller runs beside one engine and decides which adapters occupy the engine's
// slots. Gateways ask the controller to pin an adapter and send their requests directly to
// the engine. No request passes through the controller.
//
// The controller owns the engine's adapter slots, the pins on them, the queue of pending
// loads and all orders to the engine. It depends on the engine's reports, on the operators'
// state (package estate), and on the platform's store for its fencing token. After a
// restart it depends on the gateways, which report the pins that are still in use. It keeps
// all of its state in memory.
//
// Each rule has a file of its own: acquire.go (which requests are refused immediately and
// how long a request waits), pendingload.go (the value of a load), nextorder.go (what is
// loaded, replaced and evicted), loadwindow.go (how many loads run at once), reconcile.go
// (how a report changes the slots), engineloop.go (when the engine counts as unreachable,
// and what follows a failed order). docs/DECISIONS.md lists the rules by question.
package controller

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sync/errgroup"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/crash"
	"sandbarrow.example/sandbarrow/enginelink"
	"sandbarrow.example/sandbarrow/estate"
	"sandbarrow.example/sandbarrow/evict"
	"sandbarrow.example/sandbarrow/internal/boottime"
	"sandbarrow.example/sandbarrow/prefixwatch"
	"sandbarrow.example/sandbarrow/quota"
	"sandbarrow.example/sandbarrow/quota/leader"
)

const (
	// watchWait is the longest wait of one watch call on the operators' state. Each call
	// has a cost, and gateways report the changes that a lost watch would miss.
	watchWait = 12 * time.Second
	// coveringLinks is the number of linked gateways from which the controller needs no
	// watch of its own. With two, a change still arrives if one of them is cut off from the
	// store.
	coveringLinks = 2
)

// Config configures a Controller.
type Config struct {
	// Bound is how far a workspace may exceed its limits, as guaranteed by the operators.
	Bound   quota.Bound
	Box     sandbarrow.BoxID
	Control sandbarrow.EngineControl
	// CoordinateLoads lets the controllers decide together which engine loads an adapter.
	CoordinateLoads bool
	Documents       estate.Documents
	// Domain is the failure domain of the box.
	Domain sandbarrow.FailureDomain
	// Engine is the engine's address.
	Engine string
	// LearnEngineLoad makes the controller learn and publish how the engine's load slows its
	// streams.
	LearnEngineLoad bool
	Logger          *slog.Logger
	Metrics         prometheus.Registerer
	// LeaseStore stores the leases on quota shards. If it is nil, the controller leads no
	// shards.
	LeaseStore sandbarrow.LeaseStore
	// LimitOrder is how units are allocated within a workspace over its limit.
	LimitOrder quota.Order
	Service    sandbarrow.ServiceID
	// ShareDemand lets the controllers keep the demand for adapters in the store.
	ShareDemand bool
	Store       sandbarrow.PrefixStore
}

// Controller owns the slots of one engine.
type Controller struct {
	box     sandbarrow.BoxID
	control sandbarrow.EngineControl
	// crashes holds the gateways' reports of requests that crash upstreams, for gateways
	// that link later, partCrashes those of parts of prompts.
	crashes, partCrashes *crash.Log
	// demand and preloader are nil if the controllers share no demand.
	demand *demandKeeper
	domain sandbarrow.FailureDomain
	engine string
	estate *estate.Estate
	// learnsEngineLoad is the setting controller.engine_load.
	learnsEngineLoad bool
	// leader is nil if this process leads no quota shards.
	leader *leader.Leader
	// limits grants sends to upstreams with named limits, of any service.
	limits *enginelink.SendCoordinator
	// loadClaims decides which engine of the service loads an adapter.
	loadClaims *loadClaims
	logger     *slog.Logger
	metrics    *metrics
	now        func() time.Time
	// origins keeps where streams of any service began.
	origins enginelink.OriginKeeper
	// permits grants sends to contended plain upstreams, of any service.
	permits *enginelink.PermitCoordinator
	// preloader loads adapters into an engine that came back empty.
	preloader *preloader
	service   sandbarrow.ServiceID
	store     sandbarrow.PrefixStore
	wake      chan struct{}
	watch     prefixwatch.Watch

	mu sync.Mutex
	// backoffUntil is when the engine's backoff ends. Until then it gets no orders.
	backoffUntil time.Time
	// evacuated is set while the waiting requests have been refused because of an evacuation.
	evacuated     bool
	failedReports int
	// instance identifies the current start of the engine; empty while unknown.
	instance sandbarrow.InstanceID
	// late holds the load orders without a response that may still be carried out.
	late lateLoads
	// lastListedID is the listed ID of the engine that was identified last.
	lastListedID sandbarrow.ListedID
	links        map[*link]bool
	// detachedPins holds the pins whose link has closed, for detachedPinGrace.
	detachedPins map[sandbarrow.RequestID]*pin
	published    *publisher
	reported     sandbarrow.EngineReport
	sequence     uint64
	slots        *slots
	token        sandbarrow.FencingToken
	// unreported tracks whether gateways may have pins that are not known here.
	unreported unreportedPins
}

// New returns a controller. Run starts it.
func New(c Config) *Controller {
	e := estate.New(c.Documents, c.Logger)
	k := &Controller{
		box: c.Box, control: c.Control, crashes: crash.NewLog(boottime.Now), partCrashes: crash.NewLog(boottime.Now), domain: c.Domain, engine: c.Engine, estate: e, limits: enginelink.NewSendCoordinator(1), links: map[*link]bool{}, detachedPins: map[sandbarrow.RequestID]*pin{}, logger: c.Logger,
		metrics: newMetrics(c.Metrics), now: boottime.Now, published: newPublisher(), service: c.Service, slots: newSlots(evict.NewCost()), store: c.Store,
		wake: make(chan struct{}, 1),
		watch: prefixwatch.Watch{
			Consumer: e, Logger: c.Logger, Prefix: c.Documents.Prefix(), Store: c.Store, Wait: watchWait,
		},
	}
	if c.LeaseStore != nil {
		c.Metrics.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "sandbarrow_controller_quota_shards", Help: "Quota shards that this process leads.",
		}, k.shardsLed))
		k.leader = leader.New(leader.Config{Bound: c.Bound, Box: c.Box, Estate: e, Keys: c.Store, Logger: c.Logger, Order: c.LimitOrder, Store: c.LeaseStore})
	}
	if c.ShareDemand {
		k.demand = newDemandKeeper(&c, k.metrics, k.now)
		k.preloader = newPreloader(k, k.demand)
	}
	if c.CoordinateLoads {
		k.loadClaims = &loadClaims{metrics: k.metrics}
	}
	k.permits = k.newPermits(c.Metrics)
	c.Metrics.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "sandbarrow_controller_stream_origins", Help: "Streams of which this controller keeps the software version at which they began.",
	}, func() float64 { return float64(k.origins.Count()) }))
	k.watch.Covered = k.watchedByGateways
	k.slots.observeHold = k.metrics.held
	k.slots.observeLoad = k.observeLoad
	k.learnsEngineLoad = c.LearnEngineLoad
	return k
}

// shardsLed returns the number of quota shards that this process leads.
func (c *Controller) shardsLed() float64 {
	leads, _ := c.leader.LedShards()
	return float64(len(leads.Terms))
}

// watchedByGateways reports whether enough gateways are linked to do without a watch of the
// controller's own. Gateways watch the operators' state themselves and report each change.
func (c *Controller) watchedByGateways() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.links) >= coveringLinks && c.estate.View() != nil
}

// watchLead returns how long to wait for the controller's own watch to deliver a change
// that a gateway has reported.
func (c *Controller) watchLead() time.Duration {
	if c.watchedByGateways() {
		return 0
	}
	return enginelink.StoreWatchGrace
}

// observeLoad records a load and its duration.
func (c *Controller) observeLoad(key sandbarrow.AdapterKey, took time.Duration) {
	c.metrics.loads.Observe(took.Seconds())
	c.logger.Info("adapter loaded", "model", string(key.Model), "adapter", string(key.Adapter), "took_ms", took.Milliseconds())
}

// Run runs the controller until ctx is done.
func (c *Controller) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return c.watch.Run(ctx) })
	g.Go(func() error { return c.tokenLoop(ctx) })
	g.Go(func() error { return c.engineLoop(ctx) })
	g.Go(func() error { return c.linkLoop(ctx) })
	g.Go(func() error { return c.publishLoop(ctx) })
	if c.leader != nil {
		g.Go(func() error { return c.leader.Run(ctx) })
	}
	if c.demand != nil {
		g.Go(func() error { return c.demand.run(ctx) })
		g.Go(func() error { return c.preloader.run(ctx) })
	}
	return g.Wait()
}

// wakeEngineLoop makes the engine loop check immediately whether an order is due.
func (c *Controller) wakeEngineLoop() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}
