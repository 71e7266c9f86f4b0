package cmd

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"golang.org/x/sync/errgroup"

	"sandbarrow.example/sandbarrow/internal/httpcall"
	"sandbarrow.example/sandbarrow/internal/response"
	"sandbarrow.example/sandbarrow/settings"
)

const (
	// storeDialTimeout is the timeout for opening a connection to the platform's store.
	storeDialTimeout = 500 * time.Millisecond
	// storeIdleTimeout is the time after which an idle connection to the store is closed.
	storeIdleTimeout = 20 * time.Second
)

// daemon holds the settings, log and metrics of a gateway or controller process.
type daemon struct {
	file     string
	hangups  <-chan os.Signal
	logger   *slog.Logger
	log      *processLog
	registry *prometheus.Registry
	settings *settings.Settings
}

// newDaemon reads the settings and creates the logger and the metrics registry.
func newDaemon(file string, w io.Writer, hangups <-chan os.Signal) (*daemon, error) {
	s, err := settings.Load(file)
	if err != nil {
		return nil, err
	}
	d := &daemon{file: file, hangups: hangups, registry: prometheus.NewRegistry(), settings: s}
	if d.log, err = startLog(w, s, d.registry); err != nil {
		return nil, err
	}
	d.logger = d.log.logger
	d.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return d, nil
}

// run calls work. Until work returns, run also serves the metrics, watches the process's memory and
// checks the settings file on SIGHUP. It logs how the process began and why it ends, and closes the
// log.
func (d *daemon) run(ctx context.Context, role string, work func(context.Context) error) error {
	defer d.log.close()
	metrics, err := net.Listen("tcp", d.settings.Listen.Metrics)
	if err != nil {
		return errors.Annotatef(err, "listen.metrics %s", d.settings.Listen.Metrics)
	}
	background, stopBackground := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error {
		return serveHTTP(background, metrics, promhttp.HandlerFor(d.registry, promhttp.HandlerOpts{}))
	})
	group.Go(func() error {
		reloadLoop(background, d.logger, d.file, d.hangups)
		return nil
	})
	group.Go(func() error {
		watchMemory(background, d.logger, d.memoryMB())
		return nil
	})
	logStart(d.logger, role, d.file)
	err = work(ctx)
	stopBackground()
	if backgroundErr := group.Wait(); err == nil {
		err = backgroundErr
	}
	logEnd(ctx, d.logger, role, err)
	return err
}

// memoryMB returns the memory of the box in MiB; 0 if the settings don't name it.
func (d *daemon) memoryMB() int {
	if d.settings.Gateway == nil {
		return 0
	}
	return d.settings.Gateway.MemoryMB
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

// platformClient returns an HTTP client for calls to the platform.
func platformClient() *http.Client {
	return &http.Client{Transport: response.NewTransport(&http.Transport{
		DisableCompression: true, IdleConnTimeout: storeIdleTimeout, MaxIdleConnsPerHost: 8, MaxResponseHeaderBytes: httpcall.MaxHeaderBytes,
	}, &net.Dialer{Timeout: storeDialTimeout, KeepAlive: -1})}
}
