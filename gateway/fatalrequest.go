package gateway

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"time"

	"sandbarrow.example/sandbarrow/crash"
	"sandbarrow.example/sandbarrow/forward"
	"sandbarrow.example/sandbarrow/internal/pause"
)

// This file checks whether a request crashes its upstreams, before it is first sent and before each
// retry. Package crash decides. Other rules do not stop such a request: a broken attempt counts as
// one that may have run, and the retry budget does not count retries by callers. Without this
// check, one such request crashes upstream after upstream (TestCrashSoak).

const (
	// minSuspectCrashes is the number of crashes from which a request is delayed before it is sent
	// again.
	minSuspectCrashes = 2
	// suspectWait bounds the random delay after minSuspectCrashes crashes; each further crash
	// doubles it. It keeps an unrelated request that ran next to a fatal one from being sent to the
	// next upstream at the same moment. The two can then be told apart sooner.
	suspectWait = 200 * time.Millisecond
	// suspectWaitDivisor bounds the delay: at most the time left divided by it.
	suspectWaitDivisor = 4
)

// crashesUpstreams decides whether the request must not be sent to any upstream because others have
// crashed under it.
func (c *call) crashesUpstreams() bool {
	if c.checkParts() == crash.PartsRefused {
		return true
	}
	if c.gateway.crashes.Empty() {
		return false
	}
	c.crashDecision = c.gateway.crashes.Decide(c.fingerprint(), len(c.gateway.directory.View().All()))
	return c.crashDecision.Refused
}

// admitContent refuses a request under which upstreams have crashed, before any work is done for
// it. Its caller may retry when the records have expired.
func (c *call) admitContent() bool {
	if !c.crashesUpstreams() {
		return true
	}
	c.refuseWithRetryAfter(http.StatusServiceUnavailable, reasonCrashesUpstreams, jitter(max(retryAfter, c.crashDecision.ExpiresIn, c.part.decision.ExpiresIn)))
	return false
}

// refusalBeforeSend returns why the request must not be sent to any upstream now, or "" if it may
// be sent. It repeats the checks made on arrival, as their result may have changed.
func (c *call) refusalBeforeSend() reason {
	if why := c.recheckKey(); why != "" {
		return why
	}
	if c.crashesUpstreams() {
		return reasonCrashesUpstreams
	}
	if !c.committed && !c.fitsStop() {
		return reasonStopping
	}
	return ""
}

// delaySuspect delays a request under which several upstreams have crashed, or that has a suspected
// part, before an upstream is chosen for it. It returns false if the request must not be sent.
func (c *call) delaySuspect(ctx context.Context) bool {
	if !c.awaitTrial(ctx) || c.crashesUpstreams() {
		return false
	}
	if c.crashDecision.Crashes >= minSuspectCrashes {
		wait := min(suspectWait<<(c.crashDecision.Crashes-minSuspectCrashes), c.timeLeft()/suspectWaitDivisor)
		pause.For(ctx, rand.N(max(1, wait)))
	}
	return true
}

// recordResponse records that an upstream has completed its response. A server error proves
// nothing, because it may precede the execution of the request. A client error proves nothing of the
// prompt's parts, because they may not have been read.
func (c *call) recordResponse(a *forward.UpstreamResponse) {
	if a.Status < http.StatusInternalServerError {
		c.clearCrashes()
	}
	if a.Status < http.StatusMultipleChoices {
		c.clearParts()
	}
}

// countAttempt counts a finished attempt, whatever its outcome.
func (c *call) countAttempt() {
	c.gateway.crashes.CountAttempt()
	c.gateway.partCrashes.Records().CountAttempt()
}

// clearCrashes records that an upstream runs or has run the request without crashing. The request
// then does not crash every upstream.
func (c *call) clearCrashes() {
	if !c.gateway.crashes.Empty() {
		c.gateway.crashes.Clear(c.fingerprint())
	}
}

// crashAttributes returns the log attributes of upstreams that crashed under the request; none if
// there were no crashes.
func (c *call) crashAttributes() []slog.Attr {
	if c.crashDecision.Crashes == 0 {
		return nil
	}
	return []slog.Attr{
		slog.String("fingerprint", c.fingerprint().String()), slog.Int("upstreams_ended", c.crashDecision.Crashes), slog.Int("ends_needed", c.crashDecision.Needed),
		slog.Int64("forgotten_s", int64(c.crashDecision.ExpiresIn/time.Second)),
	}
}
