// Package agent is the process beside an upstream, the only way to it. It owns
// the upstream's adapter slots, its queue, its running requests and its orders.
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
	// agingStep is the waiting time that one step of priority is worth.
	agingStep = 5 * time.Second
	// maxQueued bounds the waiting requests of one agent.
	maxQueued = 4096
	// tick is the pause between looks at deadlines, holds and the load budget.
	tick = 20 * time.Millisecond
)

// Agent is one agent. Its parts are told apart by their files: attempts,
// connections, orders, the upstream's state and the stop.
type Agent struct {
	admissions  *admissions
	answers     *answerCache
	budget      sandbarrow.LoadBudget
	claimer     sandbarrow.Claimer
	crashes     *crash.Log
	engine      sandbarrow.Engine // nil for plain services
	follower    *config.Follower
	incarnation sandbarrow.Incarnation
	lease       *lease.Holder
	list        sandbarrow.BoxList // nil if not set
	listener    net.Listener
	logger      *slog.Logger
	metrics     *metrics
	settings    *settings.Settings
	upstream    sandbarrow.Upstream
	waiting     chan struct{} // holds a token while requests may wait

	mu        sync.Mutex
	attempts  map[attemptKey]*attempt
	byTicket  map[*schedule.Ticket]*attempt
	broken    []brokenRun // since the upstream's last known start
	conns     map[*connection]struct{}
	draining  bool
	ended     lastEnd
	ordered   time.Time // no order before this time
	resident  int       // counts changes of the loaded adapters
	runCtx    context.Context
	scheduler *schedule.Scheduler
	start     string // the upstream's start mark
	tombs     map[attemptKey]time.Time
	unready   bool
}

// New returns an agent that listens from now on. It reads by reader what its upstream says of
// itself in its answers.
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
		answers:     newAnswerCache(),
		attempts:    map[attemptKey]*attempt{},
		budget:      loadbudget.NewBackoff(w.LoadsPerSecond, w.ParallelLoads),
		byTicket:    map[*schedule.Ticket]*attempt{},
		claimer:     claim.NewStore(st),
		conns:       map[*connection]struct{}{},
		crashes:     crash.NewLog(boottime.Now),
		follower:    config.NewFollower(st, logger),
		incarnation: sandbarrow.Incarnation(uuid.NewString()),
		lease:       lease.NewHolder(st, "leases/"+string(u.ID), time.Duration(s.Agent.LeaseTTL), logger),
		list:        newBoxList(s),
		listener:    listener,
		logger:      logger,
		scheduler: schedule.New(schedule.Options{
			Evictor:    evict.NewCost(),
			MaxQueued:  maxQueued,
			MaxRunning: u.MaxRunning,
			Order:      queueorder.Aged{Step: agingStep},
			Slots:      u.Slots,
		}),
		settings: s,
		tombs:    map[attemptKey]time.Time{},
		waiting:  make(chan struct{}, 1),
	}
	a.metrics = newMetrics(registry, a)
	a.admissions.drains = a.upstreamDrains
	a.upstream = upstream.NewService(u.URL, a.admissions)
	if u.Kind == settings.KindEngine {
		a.engine = upstream.NewEngine(u.URL, u.MaxRunning, a.admissions)
		a.upstream = a.engine
	}
	return a, nil
}

// Address is where the agent listens for entries.
func (a *Agent) Address() string {
	return a.listener.Addr().String()
}

// Ready reports whether new work is taken.
func (a *Agent) Ready() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.draining && !a.unready && !a.admissions.draining()
}

// Run serves until ctx ends, then finishes what runs.
func (a *Agent) Run(ctx context.Context) error {
	// What is in progress lives past ctx, so that a planned stop cuts nothing.
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

// configLoop applies what each new configuration means for this upstream.
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

// tickLoop looks again at all that time alone can change, while requests wait.
func (a *Agent) tickLoop(ctx context.Context) error {
	t := time.NewTicker(tick)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-a.waiting:
		}
		for left := true; left; {
			select {
			case <-ctx.Done():
				return nil
			case <-t.C:
				left = a.pumpWaiting()
			}
		}
	}
}

// pumpWaiting pumps and reports whether requests still wait.
func (a *Agent) pumpWaiting() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := boottime.Now()
	a.pump(now)
	return a.scheduler.Stats(now).Queued > 0
}

// pump starts what can start and orders what can be ordered. The caller holds mu.
func (a *Agent) pump(now time.Time) {
	for _, t := range a.scheduler.DropUnmeetable(now) {
		a.endWaiting(t, sandbarrow.NotRun(sandbarrow.ReasonOverload, "the deadline can't be met any more", a.scheduler.Stats(boottime.Now()).LoadWait))
	}
	for t := a.scheduler.NextStart(now); t != nil; t = a.scheduler.NextStart(now) {
		at := a.byTicket[t]
		at.state = attemptStarting
		go a.run(at)
	}
	if a.engine != nil && !a.draining && !a.admissions.wantsNone(now) {
		a.pumpOrders(now)
	}
	if len(a.byTicket) > 0 {
		select {
		case a.waiting <- struct{}{}:
		default:
		}
	}
}
