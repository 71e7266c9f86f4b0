package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"sandbarrow.example/sandbarrow/internal/boottime"
	"sandbarrow.example/sandbarrow/readspeed"
)

// Timeouts after which a stream without progress is continued at another engine. The prefill
// time of the prompts ahead is added to firstEventTimeout. Otherwise streams that wait behind
// 5 s of prompts would be cancelled and their prompts prefilled again at another engine.
const (
	// progressCheckInterval is the time between two checks of a stream's progress.
	progressCheckInterval = 250 * time.Millisecond
	// unreachableTimeout applies while the controller reports its engine as unreachable.
	unreachableTimeout = 400 * time.Millisecond
	// nextEventTimeout applies after the first event.
	nextEventTimeout = 1800 * time.Millisecond
	// firstEventTimeout applies before the first event, in addition to the prefill time of the
	// prompts that wait at the engine.
	firstEventTimeout = 3 * time.Second
)

// errStalled is the cause with which an attempt without progress is cancelled.
const errStalled = errors.ConstError("gateway: stream stalled")

// progress records when a stream last made progress.
type progress struct {
	// at is the time of the last progress, as the monotonic time since start.
	at    atomic.Int64
	begun atomic.Bool
	// received reports whether the upstream has sent bytes that have not been read; nil before the
	// request is sent.
	received atomic.Pointer[func() bool]
	// firstEvent is when the first event arrived. proven is set once events have arrived for
	// minProvenRun. Only the goroutine that reads the events uses both.
	firstEvent time.Time
	proven     bool
	// pauseReported is set once a pause that was too long has been reported. Only the
	// goroutine that reads the events uses it.
	pauseReported bool
	start         time.Time
}

// provenFor reports whether events have arrived for at least the given time.
func (p *progress) provenFor(least time.Duration) bool {
	return !p.firstEvent.IsZero() && time.Since(p.firstEvent) >= least
}

// record records progress now.
func (p *progress) record() {
	if p.firstEvent.IsZero() {
		p.firstEvent = time.Now()
	}
	p.begun.Store(true)
	p.at.Store(int64(time.Since(p.start)))
}

// sinceLast returns the time since the last progress.
func (p *progress) sinceLast() time.Duration {
	return time.Since(p.start) - time.Duration(p.at.Load())
}

// stallTimeout decides how long a stream may make no progress before it counts as stalled.
//
// Inputs: whether the first event has arrived, the prompt tokens that wait for prefill at the
// engine, the engine's prefill speed, and whether its controller reports the engine as
// unreachable. The tokens and the speed are from the last status, at most half a second old.
func stallTimeout(begun bool, waitingTokens int, speed readspeed.Speed, engineUnreachable bool) time.Duration {
	switch {
	case engineUnreachable:
		return unreachableTimeout
	case begun:
		return nextEventTimeout
	}
	return firstEventTimeout + speed.PrefillTime(waitingTokens)
}

// hasUnread reports whether the upstream has sent bytes that this process has not read.
func (p *progress) hasUnread() bool {
	received := p.received.Load()
	return received != nil && (*received)()
}

// isStalled decides whether an upstream's stream has stalled. A standstill of this process, as while
// it parses a large table on a small box, is not one of the upstream.
//
// Inputs: the time without progress and the timeout for it; the time since the last check, which is
// longer than the interval of the checks if this process has stood still; and whether bytes of the
// upstream wait to be read. The last two are of now.
func isStalled(without, timeout, sinceCheck time.Duration, unread bool) bool {
	return without > timeout && sinceCheck < 2*progressCheckInterval && !unread
}

// watchProgress cancels an attempt that makes no progress, if the request may be sent to
// another engine.
func (c *call) watchProgress(ctx context.Context, cancel context.CancelCauseFunc, e *candidate, p *progress) {
	if !c.route.Retryable() {
		return
	}
	ticker := time.NewTicker(progressCheckInterval)
	defer ticker.Stop()
	checked := time.Now()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		sinceCheck := time.Since(checked)
		checked = time.Now()
		status, linked := e.link.lastStatus(boottime.Now())
		timeout := stallTimeout(p.begun.Load(), e.link.waitingTokens(c.priority()), statusSpeed(&status), linked && status.EngineUnreachable)
		if isStalled(p.sinceLast(), timeout, sinceCheck, p.hasUnread()) {
			cancel(errStalled)
			return
		}
	}
}
