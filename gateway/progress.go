package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"sandbarrow.example/sandbarrow/internal/boottime"
	"sandbarrow.example/sandbarrow/readspeed"
)

// How long a stream may make no progress before it is continued at another engine.
// firstGap grows by the prompts ahead, since streams that waited behind
// 5 s of prompts would be given up and read again elsewhere.
const (
	// progressPause is the pause between two looks at a stream's progress.
	progressPause = 250 * time.Millisecond
	// unreachableGap applies while the controller says that its engine does not answer.
	unreachableGap = 400 * time.Millisecond
	// longestGap applies to a stream that has begun.
	longestGap = 1800 * time.Millisecond
	// firstGap applies before the first event, beside the time to read the prompts
	// that wait there.
	firstGap = 3 * time.Second
)

// errStalled ends an attempt whose engine makes no progress.
const errStalled = errors.ConstError("gateway: stream stalled")

// progress is when a stream last made progress.
type progress struct {
	// at is counted from start, on the monotonic clock.
	at    atomic.Int64
	begun atomic.Bool
	// first is when the first event came, proven says that events have come for provenRun;
	// only the reader of the events uses them.
	first  time.Time
	proven bool
	// reported says that a pause that was too long has been reported; only the reader of
	// the events uses it.
	reported bool
	start    time.Time
}

// provenFor reports whether events have come for at least so long.
func (p *progress) provenFor(least time.Duration) bool {
	return !p.first.IsZero() && time.Since(p.first) >= least
}

// touch marks progress now.
func (p *progress) touch() {
	if p.first.IsZero() {
		p.first = time.Now()
	}
	p.begun.Store(true)
	p.at.Store(int64(time.Since(p.start)))
}

// pause is how long there was no progress.
func (p *progress) pause() time.Duration {
	return time.Since(p.start) - time.Duration(p.at.Load())
}

// longestPause decides how long a stream may make no progress before it counts as
// stalled.
//
// Inputs: whether its first event has come, the prompt tokens that the engine has
// yet to read and its speed (as old as the last status, half a second at most), and
// whether its controller says that the engine does not answer.
func longestPause(begun bool, waitingTokens int, speed readspeed.Speed, engineUnreachable bool) time.Duration {
	switch {
	case engineUnreachable:
		return unreachableGap
	case begun:
		return longestGap
	}
	return firstGap + speed.PrefillTime(waitingTokens)
}

// watchProgress ends an attempt that makes no progress, where the request may be
// sent to another engine.
func (c *call) watchProgress(ctx context.Context, cancel context.CancelCauseFunc, e *candidate, p *progress) {
	if !c.route.Retryable() {
		return
	}
	ticker := time.NewTicker(progressPause)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		status, linked := e.link.lastStatus(boottime.Now())
		if p.pause() > longestPause(p.begun.Load(), e.link.waitingTokens(c.priority()), statusSpeed(&status), linked && status.EngineUnreachable) {
			cancel(errStalled)
			return
		}
	}
}
