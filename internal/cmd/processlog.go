package cmd

import (
	"context"
	"io"
	"log/slog"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"sandbarrow.example/sandbarrow/logging"
	"sandbarrow.example/sandbarrow/settings"
)

// logCloseTimeout bounds the wait for a reader of the log that has stopped reading.
const logCloseTimeout = 500 * time.Millisecond

// processLog is the log of a long-running process. Lines are written in the background, so that a
// reader that is slow, has stopped reading or is gone neither blocks the process nor ends it.
type processLog struct {
	logger *slog.Logger
	stop   context.CancelFunc
	done   chan error
}

// startLog starts a log that writes to w and registers its metrics.
func startLog(w io.Writer, s *settings.Settings, r prometheus.Registerer) (*processLog, error) {
	writer := logging.NewAsyncWriter(w)
	logger, err := logging.New(writer, s)
	if err != nil {
		return nil, err
	}
	r.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "sandbarrow_log_lines_dropped_total", Help: "Log lines lost because their reader was slow.",
	}, func() float64 { return float64(writer.Dropped()) }), prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "sandbarrow_log_lines_failed_total", Help: "Log lines lost because they could not be written, as where their reader is gone.",
	}, func() float64 { return float64(writer.Failed()) }))
	ctx, stop := context.WithCancel(context.Background())
	l := &processLog{logger: logger, stop: stop, done: make(chan error, 1)}
	go func() { l.done <- writer.Run(ctx) }()
	return l, nil
}

// close writes the buffered lines, for at most logCloseTimeout.
func (l *processLog) close() {
	l.stop()
	select {
	case <-l.done:
	case <-time.After(logCloseTimeout):
	}
}
