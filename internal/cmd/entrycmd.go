package cmd

import (
	"context"

	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus"

	"sandbarrow.example/sandbarrow/entry"
	"sandbarrow.example/sandbarrow/logging"
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
	setGCPercent()
	s, err := settings.Load(c.Settings)
	if err != nil {
		return err
	}
	if s.Entry == nil {
		return errors.NotValidf("%s: no part entry", c.Settings)
	}
	logger, err := logging.New(c.out.stderr, s)
	if err != nil {
		return err
	}
	e, err := entry.New(s, logger, prometheus.NewRegistry())
	if err != nil {
		return err
	}
	logger.Info("entry started", "http", e.Address())
	return e.Run(c.ctx)
}
