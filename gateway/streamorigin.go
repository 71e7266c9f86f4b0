package gateway

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/availability"
	"sandbarrow.example/sandbarrow/enginelink"
	"sandbarrow.example/sandbarrow/forward"
	"sandbarrow.example/sandbarrow/internal/boottime"
	"sandbarrow.example/sandbarrow/origin"
	"sandbarrow.example/sandbarrow/route"
)

// This file keeps a stream at the software version with which it began: within one response, and where
// its caller resumes it, at any gateway. Package origin decides. A stream of which no process knows
// where it began is not resumed.

const (
	// errOtherSoftware means that an upstream runs another software version than the one with which
	// the stream began, or an unknown one.
	errOtherSoftware = errors.ConstError("gateway: upstream runs other software than the stream began with")
	// resumeMargin is how much longer than its caller's deadline the origin of a stream is kept.
	resumeMargin = time.Second
)

// findOrigin finds out where the stream began that a request resumes, if it resumes one. If no
// process knows, or the stream may not go on under this route, it responds to the caller and returns
// false.
func (c *call) findOrigin(ctx context.Context) bool {
	if c.position.lastEvent == "" || c.route.Kind != route.KindStream {
		return true
	}
	c.resumes = sandbarrow.RequestID(c.request.Header.Get(c.gateway.config.Headers.Resumes))
	began, known := c.lookUpOrigin(ctx)
	if !known || began.Software == "" {
		c.gateway.metrics.resumes.WithLabelValues("unknown").Inc()
		c.refuse(http.StatusServiceUnavailable, reasonUnknownStream)
		return false
	}
	c.origin = &began
	if !c.useServiceOfOrigin() {
		c.gateway.metrics.resumes.WithLabelValues("service").Inc()
		c.refuse(http.StatusServiceUnavailable, reasonOtherSoftware)
		return false
	}
	c.gateway.metrics.resumes.WithLabelValues("known").Inc()
	return true
}

// lookUpOrigin returns where the stream began that the request resumes, or false if that is not known.
// A caller that does not name the stream may resume it while only one software version is known:
// none other in the list for some time, nor of any stream that the other processes know.
func (c *call) lookUpOrigin(ctx context.Context) (origin.Origin, bool) {
	if c.resumes != "" {
		return c.gateway.origins.Find(ctx, c.resumes)
	}
	only := origin.Origin{Service: c.service.ID, Software: c.gateway.directory.OnlySoftware(c.service.ID)}
	return only, only.Software != "" && c.gateway.software.isOnly(ctx, sandbarrow.RequestID(c.id), only)
}

// useServiceOfOrigin makes a resumed stream go on at the service with which it began, if the route
// still leads there.
func (c *call) useServiceOfOrigin() bool {
	if !slices.ContainsFunc(c.route.Targets, func(t route.Target) bool { return t.Service == c.origin.Service }) {
		return false
	}
	c.service = c.view.Table.Services[c.origin.Service]
	c.part = partCheck{} // parts are those of a service
	return true
}

// mayGoOnAt decides whether the stream may go on at an upstream, by the last report of its
// controller. Any upstream is allowed before the first event.
func (c *call) mayGoOnAt(in *sandbarrow.Instance, r availability.Report) bool {
	return c.origin == nil || c.origin.Allows(in.Service, c.gateway.runningSoftware(in, r))
}

// mayStillGoOnAt is mayGoOnAt for an upstream that was chosen a while ago.
func (c *call) mayStillGoOnAt(in *sandbarrow.Instance) bool {
	return c.origin == nil || c.origin.Allows(in.Service, c.gateway.runningSoftwareNow(in))
}

// beginStream records where the stream began, right before its first event of an attempt is passed on,
// or its end where an attempt brings no further event.
// It returns an error if the stream has begun with other software than the upstream runs.
func (c *call) beginStream(in *sandbarrow.Instance) error {
	running := c.gateway.runningSoftwareNow(in)
	if c.origin == nil {
		c.origin = &origin.Origin{Service: in.Service, Software: running}
		if running != "" && c.route.Retryable() {
			c.recordOrigin(sandbarrow.RequestID(c.id))
		}
		return nil
	}
	if !c.origin.Allows(in.Service, running) {
		return errOtherSoftware
	}
	if c.resumes != "" {
		c.recordOrigin(c.resumes) // a keeper may have been lost since
	} else if c.position.lastEvent != "" {
		c.gateway.softwareRecords.record(*c.origin, c.recordLifetime())
	}
	return nil
}

// recordLifetime returns how long the stream may be resumed.
func (c *call) recordLifetime() time.Duration {
	return boottime.Until(c.callerDeadline) + resumeMargin
}

// recordOrigin reports where the stream began, for gateways at which its caller may resume it.
func (c *call) recordOrigin(id sandbarrow.RequestID) {
	lifetime := c.recordLifetime()
	c.gateway.softwareRecords.record(*c.origin, lifetime)
	reached := c.gateway.origins.Record(enginelink.StreamBegan{
		ID: id, LifetimeMS: lifetime.Milliseconds(), Service: c.origin.Service, Software: c.origin.Software,
	})
	if reached == 0 {
		c.gateway.metrics.unrecordedStreams.Inc()
	}
}

// beginPlainStream is beginStream for a complete response of a plain service. It does nothing if the
// response is no stream.
func (c *call) beginPlainStream(in *sandbarrow.Instance, got *completeResponse) error {
	if c.route.Kind != route.KindStream || !isStream(got.response) {
		return nil
	}
	return c.beginStream(in)
}

// isStream reports whether a response is a stream of events.
func isStream(a *forward.UpstreamResponse) bool {
	return a.Status == http.StatusOK && strings.HasPrefix(a.Header.Get("Content-Type"), streamMediaType)
}

// runningSoftware returns the software version that a listed upstream runs, or "" if that is not
// certain.
func (g *Gateway) runningSoftware(in *sandbarrow.Instance, r availability.Report) sandbarrow.SoftwareVersion {
	return availability.RunningSoftware(in, in, r, g.directory.Age() < listTimeout)
}

// runningSoftwareNow returns the software version that an upstream runs which was chosen a while
// ago, or "" if that is not certain.
func (g *Gateway) runningSoftwareNow(in *sandbarrow.Instance) sandbarrow.SoftwareVersion {
	status, linked := g.engines.link(in.Address).lastStatus(boottime.Now())
	return availability.RunningSoftware(in, g.directory.View().Entry(in), reportOf(&status, linked), g.directory.Age() < listTimeout)
}

// FindStream asks the controller where a stream began.
func (l *controllerLink) FindStream(ctx context.Context, q enginelink.FindStream) (reply enginelink.StreamOrigin, err error) {
	rpc := l.connection()
	if rpc == nil {
		return reply, errNoConnection
	}
	err = rpc.Call(ctx, enginelink.MethodFindStream, q, &reply)
	return reply, err
}

// StreamBegan reports to the controller where a stream began.
func (l *controllerLink) StreamBegan(m enginelink.StreamBegan) error {
	rpc := l.connection()
	if rpc == nil {
		return errNoConnection
	}
	return rpc.Notify(context.Background(), enginelink.MethodStreamBegan, m)
}
