// Package httpserve contains what the HTTP servers of several processes need: the health, readiness
// and metrics paths, and the closing of idle connections.
//
// It owns the timers of idle connections, and relies on its callers for the bound and the readiness.
package httpserve

import (
	"context"
	"net"
	"net/http"

	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"
)

// MetricsHandler returns a handler that serves the metrics of a registry.
func MetricsHandler(registry *prometheus.Registry) fasthttp.RequestHandler {
	return fasthttpadaptor.NewFastHTTPHandler(promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
}

// Health serves /healthz, /readyz and /metrics of an agent until ctx ends.
func Health(ctx context.Context, listener net.Listener, registry *prometheus.Registry, ready func() bool) error {
	metrics := MetricsHandler(registry)
	server := &fasthttp.Server{CloseOnShutdown: true, Handler: func(c *fasthttp.RequestCtx) {
		switch string(c.Path()) {
		case "/healthz":
		case "/metrics":
			metrics(c)
		case "/readyz":
			if !ready() {
				c.SetStatusCode(http.StatusServiceUnavailable)
			}
		default:
			c.SetStatusCode(http.StatusNotFound)
		}
	}}
	go func() {
		<-ctx.Done()
		_ = server.Shutdown()
	}()
	return errors.Annotatef(server.Serve(listener), "listen %s", listener.Addr())
}
