package cmd

import (
	"context"
	"net"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"

	"sandbarrow.example/sandbarrow/controller"
	"sandbarrow.example/sandbarrow/platform"
	"sandbarrow.example/sandbarrow/quota"
	"sandbarrow.example/sandbarrow/settings"
)

// controllerCmd runs a controller.
type controllerCmd struct {
	ctx context.Context
	out *output

	Settings string `long:"settings" required:"true" env:"SANDBARROW_SETTINGS" value-name:"FILE" description:"settings file"`
}

// Execute runs the command.
func (c *controllerCmd) Execute([]string) error {
	hangups := takeSignals()
	setGCPercent()
	d, err := newDaemon(c.Settings, c.out.stdout, hangups)
	if err != nil {
		return err
	}
	s := d.settings
	if s.Controller == nil {
		return errors.NotValidf("%s: no part controller", c.Settings)
	}
	client := platformClient()
	store := platform.NewStore(s.Platform.Store, client)
	k := controller.New(controller.Config{
		Bound: quota.Bound{Overage: s.Controller.LimitOverage, Slack: s.Controller.LimitSlack, Window: time.Duration(s.Controller.LimitWindow)},
		Box:   s.Box.ID, Control: platform.NewEngine(s.Controller.Engine, client), Documents: platform.Documents{},
		Domain: s.Box.FailureDomain, Engine: s.Controller.Engine, LearnEngineLoad: s.Controller.EngineLoad == settings.EngineLoadLearned, Logger: d.logger, Metrics: d.registry, Service: s.Controller.Service,
		LeaseStore: store, CoordinateLoads: s.Controller.LoadClaims == settings.LoadClaimsShared, LimitOrder: s.Controller.LimitOrder, ShareDemand: s.Controller.Demand == settings.DemandStored, Store: store,
	})
	return d.run(c.ctx, "controller", func(ctx context.Context) error {
		links, err := net.Listen("tcp", s.Listen.RPC)
		if err != nil {
			return errors.Annotatef(err, "listen.rpc %s", s.Listen.RPC)
		}
		g, ctx := errgroup.WithContext(ctx)
		g.Go(func() error { return k.Run(ctx) })
		g.Go(func() error { return k.Serve(ctx, links) })
		return g.Wait()
	})
}
