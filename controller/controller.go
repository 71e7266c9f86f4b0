// Package controller runs beside one engine and decides which adapters occupy its
// slots. Gateways ask it to pin an adapter and send their requests to the engine
// themselves; no request passes through it.
//
// It owns the engine's adapter slots, the pins on them, the queue of pending loads
// and all orders to the engine. It relies on the engine's reports, on the operators'
// state (package estate), on the platform's store for its fencing token, and on
// gateways for the pins that go on when it restarts. Nothing it knows outlives
// the process.
//
// The rules, each in a file of its own: acquire.go (who is refused at once, how long
// a request waits), pendingload.go (which load is worth most), nextorder.go (what is
// loaded, replaced and evicted), loadwindow.go (how many loads at once),
// reconcile.go (what a report changes), engineloop.go (when the engine counts as
// unreachable, and what follows a failed order). docs/DECISIONS.md lists them by
// question.
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
	// watchWait is the longest wait of one watch of the operators' state. Each call has its
	// price, and gateways announce what a lost watch would miss.
	watchWait = 12 * time.Second
	// coveringLinks is how many linked gateways make an own watch needless: with two, one
	// that is cut off from the store hides no change.
	coveringLinks = 2
)

// Config is what a Controller needs.
type Config struct {
	// Bound is what the operators promise of the workspaces' limits.
	Bound     quota.Bound
	Box       sandbarrow.BoxID
	Control   sandbarrow.EngineControl
	Documents estate.Documents
	// Engine is the engine's address.
	Engine  string
	Logger  *slog.Logger
	Metrics prometheus.Registerer
	// LeaseStore keeps the leases on quota shards; nil leads none.
	LeaseStore sandbarrow.LeaseStore
	Service    sandbarrow.ServiceID
	Store      sandbarrow.PrefixStore
}

// Controller owns the slots of one engine.
type Controller struct {
	box     sandbarrow.BoxID
	control sandbarrow.EngineControl
	// crashes is what gateways have told of requests under which upstreams end, kept for
	// those that start.
	crashes *crash.Log
	engine  string
	estate  *estate.Estate
	// leader is nil where no shards are led.
	leader *leader.Leader
	// limits grants sends to upstreams that name a limit, of whatever service.
	limits  *enginelink.SendCoordinator
	logger  *slog.Logger
	metrics *metrics
	now     func() time.Time
	service sandbarrow.ServiceID
	store   sandbarrow.PrefixStore
	wake    chan struct{}
	watch   prefixwatch.Watch

	mu sync.Mutex
	// backoffUntil is until when the engine wants no orders.
	backoffUntil  time.Time
	failedReports int
	// instance is the engine's start, or "" while it is not known.
	instance sandbarrow.InstanceID
	// late are the orders of earlier starts that may come yet.
	late lateLoads
	// named is the id of the engine that was identified last.
	named sandbarrow.ListedID
	links map[*link]bool
	// orphans are pins whose link has ended, for orphanGrace.
	orphans   map[sandbarrow.RequestID]*pin
	published *publisher
	reported  sandbarrow.EngineReport
	sequence  uint64
	slots     *slots
	token     sandbarrow.FencingToken
	// unreported says whether gateways may hold pins that are not known here.
	unreported unreportedPins
}

// New returns a controller; Run starts it.
func New(c Config) *Controller {
	e := estate.New(c.Documents, c.Logger)
	k := &Controller{
		box: c.Box, control: c.Control, crashes: crash.NewLog(boottime.Now), engine: c.Engine, estate: e, limits: enginelink.NewSendCoordinator(1), links: map[*link]bool{}, orphans: map[sandbarrow.RequestID]*pin{}, logger: c.Logger,
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
		k.leader = leader.New(leader.Config{Bound: c.Bound, Box: c.Box, Estate: e, Keys: c.Store, Logger: c.Logger, Store: c.LeaseStore})
	}
	k.watch.Covered = k.watchedByGateways
	k.slots.loadTook = k.loadTook
	return k
}

// shardsLed is how many quota shards this process leads.
func (c *Controller) shardsLed() float64 {
	leads, _ := c.leader.LedShards()
	return float64(len(leads.Terms))
}

// watchedByGateways reports whether enough gateways are linked, which watch the
// operators' state themselves and announce each change.
func (c *Controller) watchedByGateways() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.links) >= coveringLinks && c.estate.View() != nil
}

// watchLead is how long the own watch may take to bring what a gateway announces.
func (c *Controller) watchLead() time.Duration {
	if c.watchedByGateways() {
		return 0
	}
	return enginelink.StoreWatchGrace
}

// loadTook counts a load and the time that it took.
func (c *Controller) loadTook(key sandbarrow.AdapterKey, took time.Duration) {
	c.metrics.loads.Observe(took.Seconds())
	c.logger.Info("adapter loaded", "model", string(key.Model), "adapter", string(key.Adapter), "took_ms", took.Milliseconds())
}

// Run works until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return c.watch.Run(ctx) })
	g.Go(func() error { return c.tokenLoop(ctx) })
	g.Go(func() error { return c.engineLoop(ctx) })
	g.Go(func() error { return c.publishLoop(ctx) })
	if c.leader != nil {
		g.Go(func() error { return c.leader.Run(ctx) })
	}
	return g.Wait()
}

// wakeEngineLoop makes the engine loop look at once whether an order is due.
func (c *Controller) wakeEngineLoop() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}
