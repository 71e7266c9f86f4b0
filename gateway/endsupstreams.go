package gateway

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"time"

	"sandbarrow.example/sandbarrow/forward"
	"sandbarrow.example/sandbarrow/internal/pause"
)

// This file asks whether a request is one that ends its upstreams (package crash decides),
// before it is sent for the first time and before each retry: a broken attempt counts as one
// that may have run, and the retry budget does not count what callers repeat, so that
// one such request ends upstream after upstream (TestCrashSoak).

const (
	// suspectFrom is from how many ends on a request waits before it is sent again.
	suspectFrom = 2
	// suspectWait bounds the wait after suspectFrom ends, at random; each further end doubles
	// it. A request that only ran beside a fatal one is then not sent to the next upstream in
	// the same moment as that one, so that the two are told apart earlier.
	suspectWait = 200 * time.Millisecond
	// suspectWaitParts: a request waits for one of so many parts of its time at most.
	suspectWaitParts = 4
)

// endsUpstreams decides whether the request is not to be sent to any upstream, since others
// have ended under it.
func (c *call) endsUpstreams() bool {
	if c.gateway.crashes.Empty() {
		return false
	}
	c.crashVerdict = c.gateway.crashes.Decide(c.fingerprint(), len(c.gateway.directory.View().All()))
	return c.crashVerdict.Refused
}

// admitContent refuses a request under which upstreams have ended, before anything is done
// for it. Its caller may come back when that is forgotten.
func (c *call) admitContent() bool {
	if !c.endsUpstreams() {
		return true
	}
	c.refuseFor(http.StatusServiceUnavailable, reasonEndsUpstreams, jitter(max(retryAfter, c.crashVerdict.ExpiresIn)))
	return false
}

// refusalBeforeSend returns why the request must not be sent to any upstream now, whatever was known
// when it came; "" where it may.
func (c *call) refusalBeforeSend() reason {
	if why := c.forbidden(); why != "" {
		return why
	}
	if c.endsUpstreams() {
		return reasonEndsUpstreams
	}
	return ""
}

// holdSuspect waits a moment where upstreams have ended under the request one after the
// other, before an upstream is chosen for it.
func (c *call) holdSuspect(ctx context.Context) {
	if c.endsUpstreams() || c.crashVerdict.Crashes < suspectFrom {
		return
	}
	wait := min(suspectWait<<(c.crashVerdict.Crashes-suspectFrom), c.left()/suspectWaitParts)
	pause.For(ctx, rand.N(max(1, wait)))
}

// answeredBy notes that an upstream has answered the request to the end. A failure says
// nothing: it may come before the request is run.
func (c *call) answeredBy(a *forward.Answer) {
	if a.Status < http.StatusInternalServerError {
		c.clearEnds()
	}
}

// clearEnds notes that an upstream runs the request, or has run it, without ending, so that it
// does not end each one.
func (c *call) clearEnds() {
	if !c.gateway.crashes.Empty() {
		c.gateway.crashes.Clear(c.fingerprint())
	}
}

// crashAttributes describe what is known of upstreams that ended under the request; none
// where nothing is.
func (c *call) crashAttributes() []slog.Attr {
	if c.crashVerdict.Crashes == 0 {
		return nil
	}
	return []slog.Attr{
		slog.String("fingerprint", c.fingerprint().String()), slog.Int("upstreams_ended", c.crashVerdict.Crashes), slog.Int("ends_needed", c.crashVerdict.Needed),
		slog.Int64("forgotten_s", int64(c.crashVerdict.ExpiresIn/time.Second)),
	}
}
