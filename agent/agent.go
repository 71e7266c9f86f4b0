// Package agent implements the process that runs next to an upstream. All requests
// to the upstream pass through it. It manages the upstream's adapter slots, queue,
// running requests, and load and unload orders.
package agent

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sync/errgroup"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/claim"
	"sandbarrow.example/sandbarrow/config"
	"sandbarrow.example/sandbarrow/crash"
	"sandbarrow.example/sandbarrow/evict"
	"sandbarrow.example/sandbarrow/internal/boottime"
	"sandbarrow.example/sandbarrow/lease"
	"sandbarrow.example/sandbarrow/loadbudget"
	"sandbarrow.example/sandbarrow/queueorder"
	"sandbarrow.example/sandbarrow/schedule"
	"sandbarrow.example/sandbarrow/settings"
	"sandbarrow.example/sandbarrow/store"
	"sandbarrow.example/sandbarrow/upstream"
)

const (
	// agingStep is the waiting time that raises a request's priority by one step.
	agingStep = 5 * time.Second
	// maxQueued bounds the waiting requests of one agent.
	maxQueued = 4096
	// tickInterval is how often deadlines, batch waits, eviction protection and the load budget are checked.
	tickInterval = 20 * time.Millisecond
)

// Agent is the agent of one upstream. Its code is divided into files by task: attempts,
// connections, orders, the upstream's state and shutdown.
type Agent struct {
	admissions  *admissions
	responses   *responseCache
	budget      sandbarrow.LoadBudget
	claimer     sandbarrow.Claimer
	crashes     *crash.Log
	engine      sandbarrow.Engine // nil for plain services
	follower    *config.Follower
	incarnation sandbarrow.Incarnation
	lease       *lease.Holder
	boxList     sandbarrow.BoxList // nil if not set
	listener    net.Listener
	logger      *slog.Logger
	metrics     *metrics
	settings    *settings.Settings
	upstream    sandbarrow.Upstream
	hasWaiting  chan struct{} // holds an element while requests may be waiting

	mu              sync.Mutex
	attempts        map[attemptKey]*attempt
	byTicket        map[*schedule.Ticket]*attempt
	failedRuns      []failedRun              // since the upstream's last known start
	conns           map[*connection]struct{} // after their Hello
	draining        bool
	lastExit        exitRecord
	nextOrderAt     time.Time // the load budget permits no order earlier
	residentChanges int       // counts changes of the loaded adapters
	runCtx          context.Context
	scheduler       *schedule.Scheduler
	upstreamStart   string // the start ID that the engine reports
	tombstones      map[attemptKey]time.Time
	unready         bool
}

// New returns an agent whose listener is already open. It uses reader to parse the notices in its
// upstream's responses.
func New(s *settings.Settings, reader sandbarrow.NoticeReader, logger *slog.Logger, registry *prometheus.Registry) (*Agent, error) {
	listener, err := net.Listen("tcp", s.Listen.RPC)
	if err != nil {
		return nil, errors.Annotatef(err, "listen.rpc %s", s.Listen.RPC)
	}
	u := s.Agent.Upstream
	st := store.NewMeasured(store.NewHTTP(s.Platform.Store), registry)
	w := s.Agent.WeightStore
	a := &Agent{
		admissions:  newAdmissions(u.ID, reader, logger),
		responses:   newResponseCache(),
		attempts:    map[attemptKey]*attempt{},
		budget:      loadbudget.NewBackoff(w.LoadsPerSecond, w.ParallelLoads),
		byTicket:    map[*schedule.Ticket]*attempt{},
		claimer:     claim.NewStore(st),
		conns:       map[*connection]struct{}{},
		crashes:     crash.NewLog(boottime.Now),
		follower:    config.NewFollower(st, logger),
		incarnation: sandbarrow.Incarnation(uuid.NewString()),
		lease:       lease.NewHolder(st, "leases/"+string(u.ID), time.Duration(s.Agent.LeaseTTL), logger),
		boxList:     newBoxList(s, logger),
		listener:    listener,
		logger:      logger,
		scheduler: schedule.New(schedule.Options{
			Evictor:    evict.NewCost(),
			MaxQueued:  maxQueued,
			MaxRunning: u.MaxRunning,
			Order:      queueorder.Aged{Step: agingStep},
			Slots:      u.Slots,
		}),
		settings:   s,
		tombstones: map[attemptKey]time.Time{},
		hasWaiting: make(chan struct{}, 1),
	}
	a.metrics = newMetrics(registry, a)
	a.admissions.drainStarted = a.onUpstreamDrain
	a.upstream = upstream.NewService(u.URL, a.admissions)
	if u.Kind == settings.KindEngine {
		a.engine = upstream.NewEngine(u.URL, u.MaxRunning, a.admissions)
		a.upstream = a.engine
	}
	return a, nil
}

// Address returns the address on which the agent listens for entries.
func (a *Agent) Address() string {
	return a.listener.Addr().String()
}

// Ready reports whether the agent accepts new work.
func (a *Agent) Ready() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.draining && !a.unready && !a.admissions.draining()
}

// Run serves until ctx ends, then waits for running requests to finish.
func (a *Agent) Run(ctx context.Context) error {
	// Work in progress continues after ctx ends, so a planned stop interrupts no requests.
	work, stopWork := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWork()
	a.mu.Lock()
	a.runCtx = work
	a.mu.Unlock()
	if a.engine != nil {
		a.refreshState(work)
	}
	g, work := errgroup.WithContext(work)
	g.Go(func() error { return a.accept(work) })
	g.Go(func() error { return a.configLoop(work) })
	g.Go(func() error { return a.claimer.Run(work) })
	g.Go(func() error { return a.follower.Run(work) })
	g.Go(func() error { return a.tickLoop(work) })
	g.Go(func() error { return a.statusLoop(work) })
	g.Go(func() error { return a.watchBoxList(work) })
	if a.engine != nil {
		g.Go(func() error { return a.lease.Run(work) })
		g.Go(func() error { return a.stateLoop(work) })
	} else {
		g.Go(func() error { return a.watchRestart(work) })
	}
	g.Go(func() error {
		select {
		case <-ctx.Done():
		case <-work.Done():
		}
		a.drain("stop asked")
		a.waitIdle(time.Duration(a.settings.Agent.StopGrace))
		stopWork()
		_ = a.listener.Close()
		return nil
	})
	return g.Wait()
}

// configLoop applies each new configuration to the scheduler.
func (a *Agent) configLoop(ctx context.Context) error {
	for {
		changed := a.follower.Changed()
		if v := a.follower.View(); v != nil {
			a.mu.Lock()
			a.scheduler.SetBatchWait(time.Duration(v.Document.Weights.BatchWait))
			a.mu.Unlock()
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		}
	}
}

// tickLoop checks time-based conditions periodically while requests are waiting.
func (a *Agent) tickLoop(ctx context.Context) error {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-a.hasWaiting:
		}
		for remaining := true; remaining; {
			select {
			case <-ctx.Done():
				return nil
			case <-t.C:
				remaining = a.advanceWaiting()
			}
		}
	}
}

// advanceWaiting calls advance and reports whether requests are still waiting.
func (a *Agent) advanceWaiting() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := boottime.Now()
	a.advance(now)
	return a.scheduler.Stats(now).Queued > 0
}

// advance drops requests that can't meet their deadline, starts those that can run, and begins
// adapter loads. The caller holds mu.
func (a *Agent) advance(now time.Time) {
	for _, t := range a.scheduler.DropUnmeetable(now) {
		a.endWaiting(t, sandbarrow.NotRun(sandbarrow.ReasonOverload, "the deadline can't be met any more", a.scheduler.Stats(boottime.Now()).LoadWait))
	}
	for t := a.scheduler.NextStart(now); t != nil; t = a.scheduler.NextStart(now) {
		at := a.byTicket[t]
		at.state = attemptStarting
		go a.run(at)
	}
	if a.engine != nil && !a.draining && !a.admissions.rejectsWork(now) {
		a.startLoads(now)
	}
	if len(a.byTicket) > 0 {
		select {
		case a.hasWaiting <- struct{}{}:
		default:
		}
	}
}
