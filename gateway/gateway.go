// Package gateway is the process between callers and upstreams on the users' platform. It matches a
// request to a route, chooses an upstream, sends the request there and passes the response on
// unaltered.
//
// It owns the callers' connections, the choice of an upstream, retries, resumed streams and the
// response. It depends on the operators' state (package estate) and the list of upstreams (package
// directory), which both come from watches of the platform's store. It also depends on the
// controllers beside the engines, which pin adapters and report what each engine has loaded
// (package enginelink). It keeps no state across restarts of the process.
//
// Each rule has a file of its own: choose.go and enginecost.go (choice of an engine), serveplain.go
// (choice of a plain upstream), sparetime.go (how long requests wait for a slot), retryrule.go (which
// requests are retried, and when a call fails; package retry has the budgets), fatalrequest.go
// (requests that crash upstreams), fatalpart.go (parts of prompts that do), callsend.go (upstreams
// that accept a request now, by package availability), streamorigin.go (upstreams at which a stream
// may go on, by package origin), plainpermits.go (contended plain upstreams, by package permit),
// progress.go (stalled streams), priority.go (order in which an engine prefills prompts),
// engines.go (isolation of this gateway), stop.go (planned stop). docs/DECISIONS.md lists them by
// question.
package gateway

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sync/errgroup"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/crash"
	"sandbarrow.example/sandbarrow/crash/share"
	"sandbarrow.example/sandbarrow/directory"
	"sandbarrow.example/sandbarrow/distance"
	"sandbarrow.example/sandbarrow/enginelink"
	"sandbarrow.example/sandbarrow/estate"
	"sandbarrow.example/sandbarrow/forward"
	"sandbarrow.example/sandbarrow/heldbytes"
	"sandbarrow.example/sandbarrow/httpserve"
	"sandbarrow.example/sandbarrow/internal/boottime"
	"sandbarrow.example/sandbarrow/loadtime"
	"sandbarrow.example/sandbarrow/prefixwatch"
	"sandbarrow.example/sandbarrow/quota/outage"
	"sandbarrow.example/sandbarrow/retry"
	"sandbarrow.example/sandbarrow/sendkeepers"
)

const (
	// startupTime is the time after a start during which upstreams may not be listed yet. It is
	// longer than an upstream needs to list itself again after a loss of all power.
	startupTime = 4 * time.Second
	// listingInterval is the time after a new upstream within which others are likely to follow. It
	// covers the store calls after a start.
	listingInterval = 700 * time.Millisecond
	// headerTimeout bounds the arrival of a request's header.
	headerTimeout = 5 * time.Second
	// idleTimeout is the longest time that a caller's connection may be idle if the operators set
	// none.
	idleTimeout = 60 * time.Second
	// maxHeaderBytes is the technical bound of a request's header; the operators' limit is checked
	// in addition. It is four times the largest limit seen.
	maxHeaderBytes = 64 << 10
)

// Config is the configuration of a Gateway.
type Config struct {
	// UpstreamNotices reads the notices of upstreams in their responses.
	UpstreamNotices sandbarrow.NoticeReader
	// AcceptAfterStop is how long a stopping gateway accepts new connections.
	AcceptAfterStop time.Duration
	// ControllerPort is the port of the controller on an engine's box.
	ControllerPort string
	Documents      estate.Documents
	Domain         sandbarrow.FailureDomain
	Box            sandbarrow.BoxID
	Headers        sandbarrow.HeaderNames
	Instances      sandbarrow.InstanceList
	// LeaderWait is how requests wait for a leader of their limit; shared if it is empty.
	LeaderWait outage.Wait
	// DrainBound is the time after which a draining upstream must get no new requests.
	DrainBound time.Duration
	Logger     *slog.Logger
	// MaxDescriptors is the number of files and connections that the process may open; 0 if it is not
	// known.
	MaxDescriptors int
	// MemoryMB is the memory of the box in MiB. With 0, what the gateway holds for requests has no
	// bound.
	MemoryMB int
	Metrics  prometheus.Registerer
	// PeerAddress is the address of this gateway for its peers.
	PeerAddress string
	// Peers are addresses of other gateways; some may be stale or down.
	Peers []string
	// PlainPermits makes sends to contended plain upstreams need permits.
	PlainPermits bool
	// Regions names the region of each failure domain.
	Regions map[sandbarrow.FailureDomain]sandbarrow.Region
	// RetryShare is the share of a service's requests that all gateways together may retry,
	// RetrySlack the number of additional retries within the users' window.
	RetryShare, RetrySlack float64
	// RevokeBound is the time after which a revoked key must no longer be accepted. With 0, callers
	// are served by the last known configuration.
	RevokeBound time.Duration
	// StallBound is how long a caller may read nothing of its response before it is disconnected, if
	// the route's timeout is not longer. With 0, there is no bound.
	StallBound time.Duration
	StopGrace  time.Duration
	Store      sandbarrow.PrefixStore
	// TableStore is queried to confirm that the table of routes is the newest one; nil if
	// RevokeBound is 0.
	TableStore estate.Reader
}

// Gateway serves callers.
type Gateway struct {
	config    Config
	budgets   *retry.ServiceBudgets
	callers   *callers
	crashes   *crash.Log
	crashSync *share.Exchange
	// partCrashes records crashes by parts of prompts, partCrashSync shares them, and trials limits
	// the requests with suspected ones.
	partCrashes   *crash.PartLog
	partCrashSync *share.Exchange
	trials        partTrials
	demand        *demandReports
	directory     *directory.Directory
	distances     *distance.Table
	exits         *exitDetector
	engines       *engines
	estate        *estate.Estate
	leaders       *quotaLeaders
	listReply     *encodedList
	loads         *loadClaims
	loadTimes     *loadtime.Estimator
	logger        *slog.Logger
	memory        *heldbytes.Budget
	metrics       *metrics
	// origins records where streams began; ownOrigins keeps those of peers.
	origins    *sendkeepers.Origins
	ownOrigins enginelink.OriginKeeper
	outage     *leaderOutage
	permits    *sendPermits
	// plainPermits requests permits for contended plain upstreams.
	plainPermits *plainPermits
	routeTimes   routeTimes
	// startTimes are the times from the sending of a request for a stream to its first event.
	startTimes routeTimes
	// workTimes are the times from the sending of a request to the end of its response.
	workTimes       routeTimes
	software        *softwareHistory
	softwareRecords *softwareRecords
	started         time.Time
	stopping        atomic.Pointer[plannedStop]
	upstreams       *upstreams

	// incarnation identifies this process to the controllers, linkCount numbers its connections to them.
	incarnation sandbarrow.Incarnation
	linkCount   atomic.Uint64
	// peerCheckInterval is the constant of that name; tests shorten it.
	peerCheckInterval time.Duration

	mu    sync.Mutex
	pools map[sandbarrow.InstanceID]*forward.Pool
}

// New returns a gateway; Run starts it.
func New(c Config) *Gateway {
	g := &Gateway{
		budgets:     retry.NewServiceBudgets(c.RetryShare, c.RetrySlack),
		config:      c,
		crashes:     crash.NewLog(boottime.Now),
		partCrashes: crash.NewPartLog(boottime.Now),
		directory:   directory.New(c.Instances, c.Logger),
		distances:   distance.NewTable(),
		estate:      estate.New(c.Documents, c.Logger),
		loadTimes:   loadtime.NewEstimator(),
		logger:      c.Logger,
		memory:      newMemoryBudget(&c),
		metrics:     newMetrics(c.Metrics),
		started:     boottime.Now(),
		pools:       map[sandbarrow.InstanceID]*forward.Pool{},
	}
	g.incarnation, g.peerCheckInterval = sandbarrow.Incarnation(uuid.NewString()), peerCheckInterval
	g.engines = newEngines(g)
	g.callers = newCallers(g)
	g.crashSync = newCrashExchange(g, enginelink.MethodCrashes, g.crashes)
	g.partCrashSync = newCrashExchange(g, enginelink.MethodPartCrashes, g.partCrashes.Records())
	g.exits = newExitDetector(g)
	g.leaders = newQuotaLeaders(g)
	g.demand = newDemandReports(g)
	g.loads = newLoadClaims(g)
	g.outage = newLeaderOutage(g)
	g.permits = newSendPermits(g)
	g.origins = sendkeepers.NewOrigins(g.permits.coordinators, &g.ownOrigins)
	g.plainPermits = newPlainPermits(g)
	g.software, g.softwareRecords = newSoftwareHistory(g), newSoftwareRecords(g)
	g.upstreams = &upstreams{gateway: g, waiting: map[sandbarrow.InstanceID]*waits{}}
	g.listReply = &encodedList{directory: g.directory}
	g.registerMetrics()
	return g
}

// registerMetrics registers the metrics that are read from the gateway's state.
func (g *Gateway) registerMetrics() {
	g.config.Metrics.MustRegister(
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "sandbarrow_gateway_saved_retries", Help: "Retries that are saved up for the service with the fewest; -1 before the first request.",
		}, g.savedRetries),
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
}

// Ready reports whether the load balancer may send new connections.
func (g *Gateway) Ready() bool {
	return g.stopping.Load() == nil && g.estate.View() != nil && g.directory.View() != nil && !g.engines.isolated() && g.trusts(boottime.Now())
}

// Run serves callers on listener until ctx ends and the planned stop is complete.
func (g *Gateway) Run(ctx context.Context, listener net.Listener) error {
	work, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	callers := g.callers.listen(listener)
	server := &http.Server{
		Handler: g, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnContext: httpserve.WithConn, ConnState: g.callers.trackState, ErrorLog: slog.NewLogLogger(g.logger.Handler(), slog.LevelWarn),
	}
	var group errgroup.Group
	estateWatch := prefixwatch.Watch{
		OnFullRead: g.estate.ConfirmAll, Consumer: g.estate, Logger: g.logger, Prefix: g.config.Documents.Prefix(), ProcessCount: g.engines.gateways, Store: g.config.Store, Wait: prefixwatch.DefaultWait,
	}
	group.Go(func() error { return g.callers.run(work) })
	group.Go(func() error { return estateWatch.Run(work) })
	group.Go(func() error { return g.listWatch().Run(work) })
	group.Go(func() error { return g.followEvacuations(work) })
	group.Go(func() error { return g.exits.run(work) })
	group.Go(func() error { return g.crashSync.Run(work) })
	group.Go(func() error { return newCrashStore(g, share.StorePrefix, g.crashes).Run(work) })
	group.Go(func() error { return g.partCrashSync.Run(work) })
	group.Go(func() error { return newCrashStore(g, share.PartStorePrefix, g.partCrashes.Records()).Run(work) })
	group.Go(func() error { return g.engines.run(work) })
	group.Go(func() error { return g.demand.run(work) })
	group.Go(func() error { return g.syncFromPeers(work) })
	group.Go(func() error { return g.leaders.run(work) })
	group.Go(func() error { return g.outage.run(work) })
	group.Go(func() error { return g.permits.coordinators.Run(work) })
	group.Go(func() error { return g.confirmLoop(work) })
	group.Go(func() error {
		defer end()
		return g.stop(ctx, server)
	})
	err := server.Serve(callers)
	close(g.callers.accepted)
	if g.stopping.Load() == nil {
		end()
		return errors.Annotate(err, "serve callers")
	}
	return group.Wait()
}

// idleBound returns how long a caller's connection may be idle.
func (g *Gateway) idleBound() time.Duration {
	view := g.estate.View()
	if view == nil || view.Table.Limits.IdleTimeout <= 0 {
		return idleTimeout
	}
	return view.Table.Limits.IdleTimeout
}

// expectsUpstreams reports whether the list of upstreams is probably incomplete. This is so after a
// start while upstreams are still being listed, and while a service has none.
func (g *Gateway) expectsUpstreams() bool {
	if boottime.Since(g.started) < startupTime && boottime.Since(g.directory.LastAdded()) < listingInterval {
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

// savedRetries returns the value of the metric of saved retries.
func (g *Gateway) savedRetries() float64 {
	if least, found := g.budgets.LeastSaved(); found {
		return least
	}
	return -1
}
