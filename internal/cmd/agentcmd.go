package cmd

import (
	"context"
	"net"

	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sync/errgroup"

	"sandbarrow.example/sandbarrow/agent"
	"sandbarrow.example/sandbarrow/httpserve"
	"sandbarrow.example/sandbarrow/platform"
	"sandbarrow.example/sandbarrow/settings"
)

// agentCmd runs an agent.
type agentCmd struct {
	ctx context.Context
	out *output

	Settings string `long:"settings" required:"true" value-name:"FILE" description:"settings file"`
}

// Execute runs the command.
func (c *agentCmd) Execute([]string) error {
	hangups := takeSignals()
	setGCPercent()
	s, err := settings.Load(c.Settings)
	if err != nil {
		return err
	}
	if s.Agent == nil {
		return errors.NotValidf("%s: no part agent", c.Settings)
	}
	registry := prometheus.NewRegistry()
	log, err := startLog(c.out.stderr, s, registry)
	if err != nil {
		return err
	}
	defer log.close()
	a, err := agent.New(s, platform.UpstreamNotices{}, log.logger, registry)
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", s.Listen.HTTP)
	if err != nil {
		return errors.Annotatef(err, "listen.http %s", s.Listen.HTTP)
	}
	log.logger.Info("agent started", "rpc", a.Address(), "http", listener.Addr().String(), "upstream", string(s.Agent.Upstream.ID))
	go reloadLoop(c.ctx, log.logger, c.Settings, hangups)
	err = serveAgent(c.ctx, a, listener, registry)
	logEnd(c.ctx, log.logger, "agent", err)
	return err
}

// serveAgent runs an agent. It serves the agent's operational paths until the agent has stopped.
func serveAgent(ctx context.Context, a *agent.Agent, listener net.Listener, registry *prometheus.Registry) error {
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var g errgroup.Group
	g.Go(func() error {
		defer stop()
		return a.Run(ctx)
	})
	g.Go(func() error { return httpserve.Health(serving, listener, registry, a.Ready) })
	return g.Wait()
}
