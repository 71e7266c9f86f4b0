// Package logging creates the structured logger of a process.
package logging

import (
	"io"
	"log/slog"

	"github.com/juju/errors"

	"sandbarrow.example/sandbarrow/settings"
)

// New returns a logger that adds the box and its failure domain to each line.
func New(w io.Writer, s *settings.Settings) (*slog.Logger, error) {
	var level slog.Level
	if err := level.UnmarshalText([]byte(s.Log.Level)); err != nil {
		return nil, errors.Annotate(err, "log.level")
	}
	options := &slog.HandlerOptions{Level: level}
	var handler slog.Handler = slog.NewJSONHandler(w, options)
	if s.Log.Format == "text" {
		handler = slog.NewTextHandler(w, options)
	}
	return slog.New(handler).With("box", string(s.Box.ID), "failure_domain", string(s.Box.FailureDomain)), nil
}
