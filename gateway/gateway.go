// Package gateway is the process between callers and upstreams on the users'
// platform: it matches a request to a route, chooses an upstream, sends the request
// there and passes the answer on unaltered.
//
// It owns callers' connections, the choice of an upstream, retries, continued
// streams and the answer. It relies on the operators' state (package estate) and
// the list of upstreams (package directory), both brought by watches of the
// platform's store, and on the controllers beside the engines, which pin adapters
// and report what each engine holds (package enginelink). Nothing it knows outlives
// the process.
//
// The rules, each in a file of its own: choose.go and enginecost.go (which engine),
// serveplain.go (which plain upstream), earlyrefusal.go (who is refused at once),
// retryrule.go and retrybudget.go (what is sent again, and when it is given up),
// endsupstreams.go (what is sent to no upstream any more), callsend.go (which upstreams
// accept a request now, by package availability), progress.go (which stream is stalled), priority.go (what an engine reads first),
// engines.go (when this gateway is cut off), stop.go (a planned stop). docs/DECISIONS.md lists them by question.
package gateway

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sync/errgroup"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/crash"
	"sandbarrow.example/sandbarrow/directory"
	"sandbarrow.example/sandbarrow/estate"
	"sandbarrow.example/sandbarrow/forward"
	"sandbarrow.example/sandbarrow/internal/boottime"
	"sandbarrow.example/sandbarrow/loadtime"
	"sandbarrow.example/sandbarrow/prefixwatch"
	"sandbarrow.example/sandbarrow/retry"
)

const (
	// startTime is how long after a start upstreams may not be listed yet: longer than an
	// upstream needs to list itself again after a loss of all power.
	startTime = 4 * time.Second
	// listingTime is how long after a new upstream others are likely to follow (calls to
	// the store after a start).
	listingTime = 700 * time.Millisecond
	// headerTimeout bounds the arrival of a request's head.
	headerTimeout = 5 * time.Second
	// idleTimeout bounds how long a caller's connection is idle where the operators name no time.
	idleTimeout = 60 * time.Second
	// maxHeaderBytes is the technical bound of a request's head; the operators' limit
	// is checked too. Four times the limits seen.
	maxHeaderBytes = 64 << 10
)

// Config is what a Gateway needs.
type Config struct {
	// Announcements reads what upstreams say of themselves in their answers.
	Announcements sandbarrow.NoticeReader
	// AcceptAfterStop is how long a stopping gateway accepts new connections.
	AcceptAfterStop time.Duration
	// ControllerPort is the port of the controller on an engine's box.
	ControllerPort string
	Documents      estate.Documents
	Domain         sandbarrow.FailureDomain
	Box            sandbarrow.BoxID
	Headers        sandbarrow.HeaderNames
	Instances      sandbarrow.InstanceList
	// LeaveBound is how soon a draining upstream must get nothing new.
	LeaveBound time.Duration
	Logger     *slog.Logger
	Metrics    prometheus.Registerer
	// PeerAddress is where peers reach this gateway.
	PeerAddress string
	// Peers are addresses of other gateways; some may be stale or down.
	Peers []string
	// RetryShare is the share of a service's requests that all gateways together
	// may send again, RetrySlack how many more within the users' window.
	RetryShare, RetrySlack float64
	// RevokeBound is how soon after its withdrawal a key must not be served any more; 0
	// serves callers by the last configuration known.
	RevokeBound time.Duration
	StopGrace   time.Duration
	Store       sandbarrow.PrefixStore
	// TableStore is asked whether the table of routes is the newest one; nil where
	// RevokeBound is 0.
	TableStore estate.Reader
}

// Gateway serves callers.
type Gateway struct {
	config    Config
	budgets   *retry.ServiceBudgets
	crashes   *crash.Log
	directory *directory.Directory
	ends      *upstreamEnds
	engines   *engines
	estate    *estate.Estate
	leads     *quotaLeads
	list      *listAnswer
	loadTimes *loadtime.Estimator
	logger    *slog.Logger
	metrics   *metrics
	permits   *sendPermits
	started   time.Time
	stopping  atomic.Pointer[time.Time]
	upstreams *upstreams

	mu    sync.Mutex
	pools map[sandbarrow.InstanceID]*forward.Pool
}

// New returns a gateway; Run starts it.
func New(c Config) *Gateway {
	g := &Gateway{
		budgets:   retry.NewServiceBudgets(c.RetryShare, c.RetrySlack),
		config:    c,
		crashes:   crash.NewLog(boottime.Now),
		directory: directory.New(c.Instances, c.Logger),
		estate:    estate.New(c.Documents, c.Logger),
		loadTimes: loadtime.NewEstimator(),
		logger:    c.Logger,
		metrics:   newMetrics(c.Metrics),
		started:   boottime.Now(),
		pools:     map[sandbarrow.InstanceID]*forward.Pool{},
	}
	g.engines = newEngines(g)
	g.ends = newUpstreamEnds(g)
	g.leads = newQuotaLeads(g)
	g.permits = newSendPermits(g)
	g.upstreams = &upstreams{gateway: g, waiting: map[sandbarrow.InstanceID]map[*call]func(){}}
	c.Metrics.MustRegister(
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "sandbarrow_gateway_entries_refused_total", Help: "Entries in the list of upstreams that named none.",
		}, func() float64 { return float64(g.directory.RefusedEntries()) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "sandbarrow_gateway_limited_upstreams", Help: "Upstreams that name a limit on requests in their answers.",
		}, g.upstreams.limited),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "sandbarrow_gateway_draining_upstreams", Help: "Upstreams that have announced in their answers that they drain.",
		}, g.upstreams.draining),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "sandbarrow_gateway_backoff_upstreams", Help: "Upstreams that want no requests for a time, as they refused one with when to come back.",
		}, g.upstreams.backingOff),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "sandbarrow_gateway_configuration_revision", Help: "The store's revision of the configuration in force; 0 before the first.",
		}, g.revisionInForce),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "sandbarrow_gateway_store_era", Help: "The store's era, which rises when it returns from an older copy; 0 where it names none.",
		}, g.storeEra),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "sandbarrow_gateway_store_answered_seconds", Help: "Time since the store last answered about the operators' state; -1 where it never did.",
		}, g.answeredSeconds),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "sandbarrow_gateway_configuration_confirmed_seconds", Help: "Time since the configuration in force was known to be the newest; -1 where it never was.",
		}, g.confirmedSeconds),
	)
	g.list = &listAnswer{directory: g.directory}
	return g
}

// Ready reports whether the balancer may send new connections.
func (g *Gateway) Ready() bool {
	return g.stopping.Load() == nil && g.estate.View() != nil && g.directory.View() != nil && !g.engines.isolated() && g.trusts(boottime.Now())
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
		OnFullRead: g.estate.ConfirmAll, Consumer: g.estate, Logger: g.logger, Prefix: g.config.Documents.Prefix(), ProcessCount: g.engines.gateways, Store: g.config.Store, Wait: prefixwatch.DefaultWait,
	}
	group.Go(func() error { return estateWatch.Run(work) })
	group.Go(func() error { return g.listWatch().Run(work) })
	group.Go(func() error { return g.ends.run(work) })
	group.Go(func() error { return newCrashSync(g).run(work) })
	group.Go(func() error { return newCrashKeeper(g).run(work) })
	group.Go(func() error { return g.engines.run(work) })
	group.Go(func() error { return g.learnFromPeers(work) })
	group.Go(func() error { return g.leads.run(work) })
	group.Go(func() error { return g.permits.keepers.Run(work) })
	group.Go(func() error { return g.confirmLoop(work) })
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

// idleBound is how long the operators let a caller's connection be idle; 0 where
// they name no time.
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
	if boottime.Since(g.started) < startTime && boottime.Since(g.directory.LastAdded()) < listingTime {
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
