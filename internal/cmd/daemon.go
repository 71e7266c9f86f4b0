package cmd

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"golang.org/x/sync/errgroup"

	"sandbarrow.example/sandbarrow/logging"
	"sandbarrow.example/sandbarrow/settings"
)

const (
	// storeDialTimeout bounds a new connection to the platform's store.
	storeDialTimeout = 500 * time.Millisecond
	// storeIdle is how long an idle connection to the store is kept.
	storeIdle = 20 * time.Second
)

// daemon is what the commands gateway and controller share.
type daemon struct {
	file     string
	logger   *slog.Logger
	log      *logging.Bounded
	registry *prometheus.Registry
	settings *settings.Settings
}

// newDaemon reads the settings and opens the log.
func newDaemon(file string, w io.Writer) (*daemon, error) {
	s, err := settings.Load(file)
	if err != nil {
		return nil, err
	}
	d := &daemon{file: file, log: logging.NewBounded(w), registry: prometheus.NewRegistry(), settings: s}
	if d.logger, err = logging.New(d.log, s); err != nil {
		return nil, err
	}
	d.registry.MustRegister(collectors.NewGoCollector(), prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "sandbarrow_log_lines_dropped_total", Help: "Log lines lost because their reader was slow.",
	}, func() float64 { return float64(d.log.Dropped()) }))
	return d, nil
}

// run runs work beside the log, the metrics and the reload of settings until
// work returns.
func (d *daemon) run(ctx context.Context, role string, work func(context.Context) error) error {
	logCtx, stopLog := context.WithCancel(context.Background())
	logged := make(chan error, 1)
	go func() { logged <- d.log.Run(logCtx) }()
	defer func() {
		stopLog()
		<-logged
	}()
	metrics, err := net.Listen("tcp", d.settings.Listen.Metrics)
	if err != nil {
		return errors.Annotatef(err, "listen.metrics %s", d.settings.Listen.Metrics)
	}
	side, stopSide := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error {
		return serveHTTP(side, metrics, promhttp.HandlerFor(d.registry, promhttp.HandlerOpts{}))
	})
	group.Go(func() error {
		d.reloadLoop(side)
		return nil
	})
	d.logger.Info("started", "role", role, "settings", d.file)
	err = work(ctx)
	stopSide()
	if sideErr := group.Wait(); err == nil {
		err = sideErr
	}
	d.logger.Info("stopped", "role", role)
	return err
}

// reloadLoop reads the settings again at each SIGHUP. A file that can't be
// read keeps those in force; addresses are taken at the next start only.
func (d *daemon) reloadLoop(ctx context.Context) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	for {
		select {
		case <-hangups:
			if _, err := settings.Load(d.file); err != nil {
				d.logger.Error("settings refused, the last ones stay", "settings", d.file, "error", err.Error())
				continue
			}
			d.logger.Info("settings read again", "settings", d.file)
		case <-ctx.Done():
			return
		}
	}
}

// serveHTTP serves a handler until ctx ends.
func serveHTTP(ctx context.Context, listener net.Listener, h http.Handler) error {
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Second}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Annotatef(err, "listen %s", listener.Addr())
	}
	return nil
}

// platformClient returns the HTTP client for calls to the platform.
func platformClient() *http.Client {
	dialer := net.Dialer{Timeout: storeDialTimeout, KeepAlive: -1}
	return &http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext, DisableCompression: true, IdleConnTimeout: storeIdle, MaxIdleConnsPerHost: 8,
	}}
}
