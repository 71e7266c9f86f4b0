package controller

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sync/errgroup"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/enginelink"
	"sandbarrow.example/sandbarrow/estate"
	"sandbarrow.example/sandbarrow/evict"
	"sandbarrow.example/sandbarrow/internal/pause"
	"sandbarrow.example/sandbarrow/prefixwatch"
)

const (
	// tokenKeyPrefix is the prefix of the keys whose revision is a fencing token.
	tokenKeyPrefix = "sandbarrow/token/"
	tokenTimeout   = 700 * time.Millisecond
	tokenPause     = 150 * time.Millisecond
	// watchWait is the longest wait of one watch of the estate. Each call has its
	// price, and gateways bring what a lost watch would miss.
	watchWait = 12 * time.Second
	// coveringLinks is how many linked gateways make an own watch needless.
	coveringLinks = 2
)

// Config is what a Controller needs.
type Config struct {
	Box       sandbarrow.BoxID
	Control   sandbarrow.EngineControl
	Documents estate.Documents
	// Engine is the engine's address.
	Engine  string
	Logger  *slog.Logger
	Metrics prometheus.Registerer
	Service sandbarrow.ServiceID
	Store   sandbarrow.PrefixStore
}

// Controller owns the slots of one engine.
type Controller struct {
	box     sandbarrow.BoxID
	control sandbarrow.EngineControl
	engine  string
	estate  *estate.Estate
	logger  *slog.Logger
	metrics *metrics
	now     func() time.Time
	service sandbarrow.ServiceID
	store   sandbarrow.PrefixStore
	wake    chan struct{}
	watch   prefixwatch.Watch

	mu            sync.Mutex
	failedReports int
	// instance is the engine's start, or "" while it is not known.
	instance sandbarrow.InstanceID
	links    map[*link]bool
	// orphans are uses whose link has ended lately.
	orphans   map[sandbarrow.RequestID]*use
	published *publisher
	reported  sandbarrow.EngineReport
	sequence  uint64
	slots     *slots
	token     sandbarrow.FencingToken
}

// New returns a controller; Run starts it.
func New(c Config) *Controller {
	e := estate.New(c.Documents, c.Logger)
	k := &Controller{
		box: c.Box, control: c.Control, engine: c.Engine, estate: e, links: map[*link]bool{}, orphans: map[sandbarrow.RequestID]*use{}, logger: c.Logger,
		metrics: newMetrics(c.Metrics), now: time.Now, published: newPublisher(), service: c.Service, slots: newSlots(evict.NewCost()), store: c.Store,
		wake: make(chan struct{}, 1),
		watch: prefixwatch.Watch{
			Consumer: e, Logger: c.Logger, Prefix: c.Documents.Prefix(), Store: c.Store, Wait: watchWait,
		},
	}
	k.watch.Covered = k.hearsOfEstate
	k.slots.loadTook = k.loadTook
	return k
}

// hearsOfEstate reports whether enough gateways are linked, which watch the
// operators' state themselves and tell of each change.
func (c *Controller) hearsOfEstate() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.links) >= coveringLinks && c.estate.View() != nil
}

// watchLead is how long the own watch may take to bring what a gateway tells of.
func (c *Controller) watchLead() time.Duration {
	if c.hearsOfEstate() {
		return 0
	}
	return enginelink.WatchLead
}

// loadTook notes the time of a load.
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
	return g.Wait()
}

// tokenLoop obtains the first fencing token.
func (c *Controller) tokenLoop(ctx context.Context) error {
	for ctx.Err() == nil && c.currentToken() == 0 {
		c.renewToken(ctx)
		if c.currentToken() == 0 {
			pause.For(ctx, tokenPause)
		}
	}
	return nil
}

// renewToken writes the key of the token; the store's revision is the token.
// A write without answer is made again: its revision is newer still.
func (c *Controller) renewToken(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, tokenTimeout)
	defer cancel()
	revision, err := c.store.Commit(ctx, sandbarrow.Transaction{
		Put: map[string][]byte{tokenKeyPrefix + c.engine: []byte(c.box)},
	})
	if err != nil {
		c.logger.Warn("fencing token not obtained", "error", err.Error())
		return
	}
	c.takeToken(sandbarrow.FencingToken(revision), "store")
}

// takeToken raises the token; source says where it was learnt.
func (c *Controller) takeToken(t sandbarrow.FencingToken, source string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t <= c.token {
		return
	}
	c.token = t
	c.logger.Info("fencing token", "token", uint64(t), "source", source)
	c.rouse()
}

func (c *Controller) currentToken() sandbarrow.FencingToken {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.token
}

// rouse wakes the engine loop.
func (c *Controller) rouse() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// status describes the engine. The caller holds mu.
func (c *Controller) status() enginelink.Status {
	s := enginelink.Status{
		Free: c.slots.free(), Gateways: len(c.links), Instance: c.instance, Draining: c.reported.Draining,
		EngineUnreachable: c.failedReports >= silentAfter, Slots: c.slots.status(), Token: c.token,
	}
	for _, m := range c.reported.Models {
		s.Models = append(s.Models, m.Model)
	}
	for l := range c.links {
		for _, u := range l.uses {
			if u.granted {
				s.Running++
			}
		}
	}
	s.WaitingTokens = c.waitingTokens()
	return s
}

// waitingTokens counts the prompts that the engine has yet to read: those
// granted whose answer has not begun, and those that wait for their adapter.
// The caller holds mu.
func (c *Controller) waitingTokens() int {
	n := c.slots.waitingTokens()
	for l := range c.links {
		for _, u := range l.uses {
			if u.granted && !u.begun {
				n += u.tokens
			}
		}
	}
	return n
}
