package cmd

import (
	"context"

	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus"

	"sandbarrow.example/sandbarrow/entry"
	"sandbarrow.example/sandbarrow/settings"
)

// entryCmd runs an entry.
type entryCmd struct {
	ctx context.Context
	out *output

	Settings string `long:"settings" required:"true" value-name:"FILE" description:"settings file"`
}

// Execute runs the command.
func (c *entryCmd) Execute([]string) error {
	hangups := takeSignals()
	setGCPercent()
	s, err := settings.Load(c.Settings)
	if err != nil {
		return err
	}
	if s.Entry == nil {
		return errors.NotValidf("%s: no part entry", c.Settings)
	}
	registry := prometheus.NewRegistry()
	log, err := startLog(c.out.stderr, s, registry)
	if err != nil {
		return err
	}
	defer log.close()
	e, err := entry.New(s, log.logger, registry)
	if err != nil {
		return err
	}
	log.logger.Info("entry started", "http", e.Address())
	go reloadLoop(c.ctx, log.logger, c.Settings, hangups)
	err = e.Run(c.ctx)
	logEnd(c.ctx, log.logger, "entry", err)
	return err
}
