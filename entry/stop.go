package entry

import (
	"context"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"sandbarrow.example/sandbarrow/internal/boottime"
)

// The times of a planned stop. Together they fit into the setting entry.stop_grace.
const (
	// unreadyDelay is how long a stopping entry still accepts connections. In this time the load
	// balancer detects that the entry is not ready.
	unreadyDelay = time.Second
	// stopMargin ends the requests that still run before the platform kills the process.
	stopMargin = 500 * time.Millisecond
	// lastResponsesTime is the part of stopMargin in which callers get the responses of requests that
	// were ended.
	lastResponsesTime = stopMargin / 2
)

// errStopped is the cause with which a planned stop ends the requests that still run.
const errStopped = errors.ConstError("entry: stopped")

// stop reports the entry as not ready, waits for the load balancer to notice, then finishes the
// requests in progress. Those that still run at the end get a response that says what is known of
// them.
func (e *Entry) stop(server *fasthttp.Server) error {
	length := max(0, time.Duration(e.settings.Entry.StopGrace)-stopMargin)
	end := boottime.Now().Add(length)
	e.stopEnd.Store(&end)
	e.logger.Info("draining", "why", "stop asked")
	cut := time.AfterFunc(length, func() {
		e.logger.Warn("requests cut at the end of the grace", "connections", server.GetOpenConnectionsCount())
		e.endCalls(errStopped)
	})
	defer cut.Stop()
	time.Sleep(min(unreadyDelay, length))
	ctx, cancel := context.WithTimeout(context.Background(), boottime.Until(end)+lastResponsesTime)
	defer cancel()
	return errors.Annotate(server.ShutdownWithContext(ctx), "stopped with work in progress")
}

// stopping reports whether a planned stop has begun.
func (e *Entry) stopping() bool { return e.stopEnd.Load() != nil }

// lookupTime returns how long the entry may take to find out what has become of an attempt: most, but
// in a planned stop not beyond the time in which the response still reaches its caller.
func (e *Entry) lookupTime(most time.Duration) time.Duration {
	end := e.stopEnd.Load()
	if end == nil {
		return most
	}
	return max(0, min(most, boottime.Until(end.Add(lastResponsesTime/2))))
}

// isStopped reports whether a planned stop has ended a request.
func isStopped(ctx context.Context) bool {
	return errors.Is(context.Cause(ctx), errStopped)
}
