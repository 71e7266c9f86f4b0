package cmd

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"

	"sandbarrow.example/sandbarrow/gateway"
	"sandbarrow.example/sandbarrow/platform"
	"sandbarrow.example/sandbarrow/settings"
)

// gatewayCmd runs a gateway.
type gatewayCmd struct {
	ctx context.Context
	out *output

	Settings string `long:"settings" required:"true" env:"SANDBARROW_SETTINGS" value-name:"FILE" description:"settings file"`
}

// Execute runs the command.
func (c *gatewayCmd) Execute([]string) error {
	hangups := takeSignals()
	setGCPercent()
	d, err := newDaemon(c.Settings, c.out.stdout, hangups)
	if err != nil {
		return err
	}
	s := d.settings
	if s.Gateway == nil {
		return errors.NotValidf("%s: no part gateway", c.Settings)
	}
	setMemoryLimit(s.Gateway.MemoryMB)
	store := platform.NewStore(s.Platform.Store, platformClient())
	g := gateway.New(gateway.Config{
		AcceptAfterStop: gateway.DefaultAcceptAfterStop, UpstreamNotices: platform.UpstreamNotices{}, Box: s.Box.ID, ControllerPort: strconv.Itoa(s.Gateway.ControllerPort), Documents: platform.Documents{},
		Domain: s.Box.FailureDomain, Headers: platform.Headers, Instances: platform.Instances{}, DrainBound: time.Duration(s.Gateway.DrainBound), Logger: d.logger,
		LeaderWait: s.Gateway.LeaderWait, MaxDescriptors: s.Gateway.MaxDescriptors, MemoryMB: s.Gateway.MemoryMB, Metrics: d.registry, PeerAddress: s.Listen.Peer, Peers: s.Gateway.Peers, PlainPermits: s.Gateway.PlainPermits == settings.PlainPermitsContended, Regions: s.Gateway.Regions, RetryShare: s.Gateway.RetryShare, RetrySlack: s.Gateway.RetrySlack,
		RevokeBound: time.Duration(s.Gateway.RevokeBound),
		StallBound:  time.Duration(s.Gateway.StallBound), StopGrace: time.Duration(s.Gateway.StopGrace), Store: store, TableStore: store,
	})
	return d.run(c.ctx, "gateway", func(ctx context.Context) error {
		callers, err := net.Listen("tcp", s.Listen.HTTP)
		if err != nil {
			return errors.Annotatef(err, "listen.http %s", s.Listen.HTTP)
		}
		ready, err := net.Listen("tcp", s.Listen.Ready)
		if err != nil {
			return errors.Annotatef(err, "listen.ready %s", s.Listen.Ready)
		}
		peers, err := net.Listen("tcp", s.Listen.Peer)
		if err != nil {
			return errors.Annotatef(err, "listen.peer %s", s.Listen.Peer)
		}
		return serveGateway(ctx, g, callers, ready, peers)
	})
}

// serveGateway runs a gateway. It serves the readiness check and the peer port until the gateway has
// stopped.
func serveGateway(ctx context.Context, g *gateway.Gateway, callers, ready, peers net.Listener) error {
	serving, stop := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error {
		defer stop()
		return g.Run(ctx, callers)
	})
	group.Go(func() error {
		return serveHTTP(serving, ready, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if !g.Ready() {
				w.WriteHeader(http.StatusServiceUnavailable)
			}
		}))
	})
	group.Go(func() error { return g.ServePeers(serving, peers) })
	return group.Wait()
}
