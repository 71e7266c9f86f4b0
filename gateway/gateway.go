// Package gateway is the process between callers and upstreams on the direct
// path: it matches a request to a route, chooses an upstream, sends the request
// there and passes the answer on unaltered. Engines' adapters are obtained from
// the controllers beside them.
package gateway

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sync/errgroup"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/directory"
	"sandbarrow.example/sandbarrow/estate"
	"sandbarrow.example/sandbarrow/forward"
	"sandbarrow.example/sandbarrow/prefixwatch"
	"sandbarrow.example/sandbarrow/retry"
)

const (
	// estateWait is the longest wait of one watch of the estate.
	estateWait = 3 * time.Second
	// DefaultAcceptAfterStop is how long a stopping gateway takes new
	// connections, until the balancer has surely seen that it is not ready.
	DefaultAcceptAfterStop = 2600 * time.Millisecond
	// startTime is how long after a start upstreams may not be listed yet, and
	// newsTime how long after a new one others are likely to follow.
	startTime = 4 * time.Second
	newsTime  = 700 * time.Millisecond
	// retrySharePart and retrySlackPart are the parts of the fleet's allowance for
	// repeats that are used: of the share of requests, and of what may be repeated
	// beyond it.
	retrySharePart = 0.95
	retrySlackPart = 0.7
	// retryStartPart is the part of what may be saved up that a gateway starts
	// with: many may restart at once, and those before them have spent theirs.
	retryStartPart = 0.4
	// unknownBurst is the burst while the number of gateways is not known.
	unknownBurst = 2
	// stopMargin ends a planned stop before the platform does.
	stopMargin = 500 * time.Millisecond
	// headerTimeout bounds the arrival of a request's head.
	headerTimeout = 5 * time.Second
	// idleTimeout bounds the rest of a caller's connection where the operators
	// name no time.
	idleTimeout = 60 * time.Second
	// maxHeaderBytes is the technical bound; the estate's limit is checked too.
	maxHeaderBytes = 64 << 10
)

// Config is what a Gateway needs.
type Config struct {
	// AcceptAfterStop is how long a stopping gateway takes new connections.
	AcceptAfterStop time.Duration
	// ControllerPort is the port of the controller on an engine's box.
	ControllerPort string
	Documents      estate.Documents
	Domain         sandbarrow.FailureDomain
	Box            sandbarrow.BoxID
	Headers        sandbarrow.HeaderNames
	Instances      sandbarrow.InstanceList
	// LeaveBound is how soon a leaving upstream must get nothing new.
	LeaveBound time.Duration
	Logger     *slog.Logger
	Metrics    prometheus.Registerer
	// Peers are addresses of other gateways; some may be stale or down.
	Peers []string
	// RetryShare is the share of a service's requests that all gateways together
	// may send again, RetrySlack how many more within the users' window.
	RetryShare, RetrySlack float64
	StopGrace              time.Duration
	Store                  sandbarrow.PrefixStore
}

// Gateway serves callers.
type Gateway struct {
	config    Config
	demand    *demand
	directory *directory.Directory
	engines   *engines
	estate    *estate.Estate
	health    *health
	logger    *slog.Logger
	metrics   *metrics
	started   time.Time
	stopping  atomic.Pointer[time.Time]

	mu      sync.Mutex
	budgets map[sandbarrow.ServiceID]*retry.Budget
	pools   map[sandbarrow.InstanceID]*forward.Pool
}

// New returns a gateway; Run starts it.
func New(c Config) *Gateway {
	g := &Gateway{
		budgets:   map[sandbarrow.ServiceID]*retry.Budget{},
		config:    c,
		demand:    newDemand(),
		directory: directory.New(c.Instances, c.Logger),
		estate:    estate.New(c.Documents, c.Logger),
		health:    newHealth(),
		logger:    c.Logger,
		metrics:   newMetrics(c.Metrics),
		started:   time.Now(),
		pools:     map[sandbarrow.InstanceID]*forward.Pool{},
	}
	g.engines = newEngines(g)
	return g
}

// Ready reports whether the balancer may send new connections.
func (g *Gateway) Ready() bool {
	return g.stopping.Load() == nil && g.estate.View() != nil && g.directory.View() != nil && !g.engines.isolated()
}

// Run serves callers on listener until ctx ends and a planned stop is over.
func (g *Gateway) Run(ctx context.Context, listener net.Listener) error {
	work, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	server := &http.Server{
		Handler: g, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnState: newIdleCloser(g.idleBound).note, ErrorLog: slog.NewLogLogger(g.logger.Handler(), slog.LevelDebug),
	}
	var group errgroup.Group
	estateWatch := prefixwatch.Watch{
		Consumer: g.estate, Logger: g.logger, Prefix: g.config.Documents.Prefix(), Store: g.config.Store, Wait: estateWait,
	}
	group.Go(func() error { return estateWatch.Run(work) })
	group.Go(func() error { return g.listWatch().Run(work) })
	group.Go(func() error { return g.engines.run(work) })
	group.Go(func() error { return g.learnFromPeers(work) })
	group.Go(func() error {
		defer end()
		return g.stop(ctx, server)
	})
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		end()
		return errors.Annotate(err, "serve callers")
	}
	return group.Wait()
}

// idleBound is how long the operators let a caller's connection rest.
func (g *Gateway) idleBound() time.Duration {
	view := g.estate.View()
	if view == nil {
		return 0
	}
	return view.Table.Limits.IdleTimeout
}

// awaitsUpstreams reports whether the list of upstreams is likely incomplete:
// after a start while new ones are listed one after the other, or while a
// service has none.
func (g *Gateway) awaitsUpstreams() bool {
	if time.Since(g.started) < startTime && time.Since(g.directory.LastNew()) < newsTime {
		return true
	}
	view := g.estate.View()
	if view == nil {
		return false
	}
	list := g.directory.View()
	for id := range view.Table.Services {
		if len(list.Service(id)) == 0 {
			return true
		}
	}
	return false
}

// stop waits for ctx, then stops so that no request is cut: first the
// balancer learns that this gateway is not ready, then it takes no more
// connections, then what runs ends.
func (g *Gateway) stop(ctx context.Context, server *http.Server) error {
	<-ctx.Done()
	began := time.Now()
	g.stopping.Store(&began)
	g.logger.Info("gateway stops", "grace", g.config.StopGrace.String())
	time.Sleep(g.config.AcceptAfterStop)
	rest, cancel := context.WithDeadline(context.Background(), began.Add(g.config.StopGrace-stopMargin))
	defer cancel()
	if err := server.Shutdown(rest); err != nil {
		g.logger.Warn("requests cut at the end of the grace", "error", err.Error())
	}
	g.logger.Info("gateway stopped", "took", time.Since(began).String())
	return nil
}

// stopped returns how long this gateway has been stopping.
func (g *Gateway) stopped() (time.Duration, bool) {
	began := g.stopping.Load()
	if began == nil {
		return 0, false
	}
	return time.Since(*began), true
}

// budget returns the retry budget of a service: a part of what all gateways
// together may repeat, since one that restarts begins with a full budget.
func (g *Gateway) budget(id sandbarrow.ServiceID) *retry.Budget {
	most := g.retryBurst()
	g.mu.Lock()
	defer g.mu.Unlock()
	b := g.budgets[id]
	if b == nil {
		b = retry.NewBudgetOf(g.config.RetryShare*retrySharePart, max(1, most*retryStartPart))
		g.budgets[id] = b
	}
	b.SetMost(most)
	return b
}

// retryBurst is how many repeats this gateway may save up.
func (g *Gateway) retryBurst() float64 {
	n := g.engines.gateways()
	if n == 0 {
		return min(unknownBurst, g.config.RetrySlack)
	}
	return max(1, g.config.RetrySlack*retrySlackPart/float64(n))
}

// pool returns the connections to an upstream.
func (g *Gateway) pool(in *sandbarrow.Instance) *forward.Pool {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.pools[in.ID]
	if p == nil {
		p = forward.NewPool(in.Address)
		g.pools[in.ID] = p
		g.closeGone()
	}
	return p
}

// closeGone drops the pools of upstreams that are no longer listed. The caller
// holds mu.
func (g *Gateway) closeGone() {
	listed := map[sandbarrow.InstanceID]bool{}
	for _, in := range g.directory.View().All() {
		listed[in.ID] = true
	}
	for id, p := range g.pools {
		if !listed[id] {
			p.Close()
			delete(g.pools, id)
		}
	}
}

// jitter spreads a pause by a half to both sides.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d)
}
