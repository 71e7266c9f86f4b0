// Package entry implements the process between callers and agents. It serves HTTP to callers,
// resolves each request under one configuration revision, chooses an upstream, and retries
// failed requests where that is safe.
package entry

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/boxlist"
	"sandbarrow.example/sandbarrow/burn"
	"sandbarrow.example/sandbarrow/claim"
	"sandbarrow.example/sandbarrow/config"
	"sandbarrow.example/sandbarrow/crash"
	"sandbarrow.example/sandbarrow/httpserve"
	"sandbarrow.example/sandbarrow/internal/boottime"
	"sandbarrow.example/sandbarrow/limit"
	"sandbarrow.example/sandbarrow/placement"
	"sandbarrow.example/sandbarrow/retry"
	"sandbarrow.example/sandbarrow/settings"
	"sandbarrow.example/sandbarrow/store"
)

const (
	// readTimeout bounds the time to read one request, as a protection against slow callers.
	readTimeout = 30 * time.Second
	// writeTimeout bounds the time to write one response.
	writeTimeout = 10 * time.Minute
	// maxSavedRetries bounds the retry budget that accumulates while few retries are needed
	// (docs/design/retries.md).
	maxSavedRetries = 20
)

// Entry is one entry process. Each file of the package implements one part of it.
type Entry struct {
	budget       *retry.Budget
	chooser      sandbarrow.Chooser
	claimer      sandbarrow.Claimer
	crashes      *crash.Log
	fleet        *placement.Fleet
	follower     *config.Follower
	limits       *limit.Classes
	list         sandbarrow.BoxList
	listener     net.Listener
	logger       *slog.Logger
	metrics      *metrics
	permits      permitCache
	serveMetrics fasthttp.RequestHandler
	settings     *settings.Settings
	// stopEnd is when a planned stop ends the requests that still run; nil before it.
	stopEnd atomic.Pointer[time.Time]
	tracker *burn.Tracker
	// calls is canceled with errStopped when a planned stop ends the requests that still run, work after
	// the last request.
	calls, work context.Context
	endCalls    context.CancelCauseFunc

	mu       sync.Mutex
	draining map[sandbarrow.BoxID]bool
	peers    map[sandbarrow.BoxID]*peer
}

// New returns an entry whose listener is already open.
func New(s *settings.Settings, logger *slog.Logger, registry *prometheus.Registry) (*Entry, error) {
	listener, err := net.Listen("tcp", s.Listen.HTTP)
	if err != nil {
		return nil, errors.Annotatef(err, "listen.http %s", s.Listen.HTTP)
	}
	st := store.NewMeasured(store.NewHTTP(s.Platform.Store), registry)
	fleet := placement.NewFleet()
	e := &Entry{
		budget:       retry.NewBudget(s.Entry.RetryShare, maxSavedRetries),
		chooser:      placement.NewAffinity(fleet),
		claimer:      claim.NewStore(st),
		crashes:      crash.NewLog(boottime.Now),
		fleet:        fleet,
		follower:     config.NewFollower(st, logger),
		draining:     map[sandbarrow.BoxID]bool{},
		limits:       limit.NewClasses(),
		list:         boxlist.NewHTTP(s.Platform.BoxList, logger),
		listener:     listener,
		logger:       logger,
		peers:        map[sandbarrow.BoxID]*peer{},
		serveMetrics: httpserve.MetricsHandler(registry),
		settings:     s,
		tracker:      burn.NewTracker(),
	}
	e.metrics = newMetrics(registry, e)
	return e, nil
}

// Address returns the address at which the entry listens for callers.
func (e *Entry) Address() string {
	return e.listener.Addr().String()
}

// Ready reports whether the entry can serve requests.
func (e *Entry) Ready() bool {
	return !e.stopping() && e.follower.View() != nil && e.Connected() > 0
}

// Run serves until ctx is canceled, then finishes the requests in progress.
func (e *Entry) Run(ctx context.Context) error {
	work, stopWork := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWork()
	server := e.server()
	g, work := errgroup.WithContext(work)
	e.work = work
	e.calls, e.endCalls = context.WithCancelCause(work)
	defer e.endCalls(nil)
	g.Go(func() error { return e.claimer.Run(work) })
	g.Go(func() error { return e.follower.Run(work) })
	g.Go(func() error { return e.configLoop(work) })
	g.Go(func() error { return e.peerLoop(work) })
	g.Go(func() error {
		return errors.Annotatef(server.Serve(e.listener), "listen.http %s", e.settings.Listen.HTTP)
	})
	g.Go(func() error {
		select {
		case <-ctx.Done():
		case <-work.Done():
		}
		defer stopWork()
		return e.stop(server)
	})
	return g.Wait()
}

// configLoop applies each new configuration to this entry.
func (e *Entry) configLoop(ctx context.Context) error {
	for {
		changed := e.follower.Changed()
		if v := e.follower.View(); v != nil {
			e.applyConfig(v)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		}
	}
}

func (e *Entry) applyConfig(v *config.View) {
	rates := map[sandbarrow.CallerClass]limit.Rate{}
	targets := map[sandbarrow.CallerClass]float64{}
	for _, c := range v.Document.Classes {
		rates[c.ID] = limit.Rate{Burst: c.Burst, PerSecond: c.RequestsPerSecond}
		targets[c.ID] = c.Objective.Share
	}
	e.limits.Set(time.Now(), rates)
	e.tracker.SetTargets(targets)
	e.sendWatermarks()
}
