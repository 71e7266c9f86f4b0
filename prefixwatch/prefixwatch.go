// Package prefixwatch follows a prefix of the platform's store. It reads the whole prefix
// and then watches it for changes. It reads the whole prefix again if the store has
// compacted the history in between. It owns the rate of the calls and the backoff after
// failures, and passes what it reads to a Consumer. Gateways and controllers use it.
package prefixwatch

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/internal/boottime"
	"sandbarrow.example/sandbarrow/internal/pause"
)

// DefaultWait is the longest wait of one watch if a process does not share its reads. If the
// connection of a watch hangs without a reset, no change is seen until the watch times out
// after the wait and maxSlack. This must be well within 3 s: from then on the process must
// apply changes within their bound again (TestHungWatchTimesOutInTime, TestRouteSoak).
const DefaultWait = 1200 * time.Millisecond

const (
	// readTimeout bounds a read of the whole prefix. After a complete power loss, calls to a store
	// that does not respond take up to 2 s.
	readTimeout = 900 * time.Millisecond
	// expectingInterval is the shortest time between two watches while Expecting returns true.
	expectingInterval = 150 * time.Millisecond
	// jitterDivisor: intervals are shortened at random by up to 1/jitterDivisor.
	jitterDivisor = 3
	// coveredCheckInterval is the time between two calls of Covered while it returns true.
	coveredCheckInterval = 500 * time.Millisecond
	// minBackoff and maxBackoff bound the exponential backoff after failures. With many processes
	// the upper bound is higher (sharedMaxBackoff).
	minBackoff = 100 * time.Millisecond
	maxBackoff = 800 * time.Millisecond
)

// Consumer applies what a Watch reads. It may already have newer state from other processes.
type Consumer interface {
	// Replace applies the contents of the whole prefix at a revision.
	Replace(items []sandbarrow.KeyItem, at sandbarrow.StoreRevision)
	// Update applies changes up to a revision.
	Update(items []sandbarrow.KeyItem, at sandbarrow.StoreRevision)
}

// Watch follows one prefix.
type Watch struct {
	// Age returns how long ago the consumer's state was last confirmed, by this watch or by
	// other processes that share their reads. With nil, only this watch counts.
	Age func() time.Duration
	// Busy says that the prefix changes constantly. Its watches return almost immediately. A
	// longer wait is then not needed even if many processes share the prefix.
	Busy     bool
	Consumer Consumer
	// OnFullRead, if not nil, is called after each read of the whole prefix, when the consumer
	// has applied it. It gets the time of the request and the items. It is not called for
	// watches: a watch may return nothing for some time before its history is dropped, and
	// therefore confirms nothing.
	OnFullRead func(requestedAt time.Time, items []sandbarrow.KeyItem)
	// Covered reports whether other processes deliver all changes. No calls are made while it
	// returns true. nil means never.
	Covered func() bool
	// Expecting reports whether changes are expected soon. While it returns true,
	// expectingInterval replaces a longer MinInterval. nil means never.
	Expecting func() bool
	Logger    *slog.Logger
	// Watermark returns the revision up to which the consumer is complete. It is set if other
	// processes deliver changes too.
	Watermark func() sandbarrow.StoreRevision
	// MinInterval is the shortest time between two watches. It limits the calls for a busy
	// prefix; changes in between arrive together.
	MinInterval time.Duration
	Prefix      string
	// ProcessCount returns how many processes follow the prefix and send each other all
	// changes, including this one. nil means only this one.
	ProcessCount func() int
	Store        sandbarrow.PrefixStore
	// Wait is the longest wait of one watch call if the process does not share its reads.
	Wait time.Duration

	// responses estimates how long the store takes to respond.
	responses responseTime
}

// Run follows the prefix until ctx ends.
func (w *Watch) Run(ctx context.Context) error {
	var at sandbarrow.StoreRevision
	known, up := false, true
	var lost time.Time // when the first of the failed calls began
	backoff := minBackoff
	for ctx.Err() == nil {
		if w.Covered != nil && w.Covered() {
			known = false // the store may compact the history in the meantime
			pause.For(ctx, coveredCheckInterval)
			continue
		}
		began := time.Now()
		next, err := w.step(ctx, at, known, up)
		switch {
		case err == nil:
			if !up {
				w.Logger.Info("store regained", "prefix", w.Prefix, "revision", next, "lost_ms", time.Since(lost).Milliseconds())
			}
			at, known, up, backoff = next, true, true, minBackoff
			w.waitForInterval(ctx, began)
		case ctx.Err() != nil:
		default:
			if errors.Is(err, sandbarrow.ErrStoreCompacted) {
				known = false
			}
			if up {
				lost = began
				w.Logger.Warn("store lost", "prefix", w.Prefix, "revision", at, "waited_ms", time.Since(began).Milliseconds(), "error", err.Error())
			}
			up = false
			// The duration of the failed call counts towards the pause. After a hung call a full
			// pause would extend the time in which changes are missed.
			pause.For(ctx, backoff/2+rand.N(backoff)-time.Since(began))
			backoff = min(2*backoff, sharedMaxBackoff(w.processCount()))
			w.waitWhileFresh(ctx)
		}
		if known && w.Watermark != nil {
			at = max(at, w.Watermark())
		}
	}
	return nil
}

// waitForInterval waits until the next watch is due.
func (w *Watch) waitForInterval(ctx context.Context, began time.Time) {
	if w.Age == nil {
		pause.For(ctx, w.interval()-time.Since(began))
	}
	w.waitWhileFresh(ctx)
}

// waitWhileFresh waits while another process has confirmed the state within the interval. A
// watch that is not shared does not wait. The interval is shortened at random, to make one of
// the processes that share their watches the first.
func (w *Watch) waitWhileFresh(ctx context.Context) {
	if w.Age == nil {
		return
	}
	interval := w.interval()
	interval -= rand.N(interval/jitterDivisor + 1)
	for left := interval - w.Age(); left > 0 && ctx.Err() == nil; left = interval - w.Age() {
		pause.For(ctx, left)
	}
}

// processCount returns how many processes share their reads.
func (w *Watch) processCount() int {
	if w.ProcessCount == nil {
		return 1
	}
	return w.ProcessCount()
}

func (w *Watch) interval() time.Duration {
	if w.Expecting != nil && w.Expecting() {
		return min(w.MinInterval, expectingInterval)
	}
	return w.MinInterval
}

// step reads the whole prefix or, if it is known, watches it once. After a failed call the watch
// does not wait. This way a restore of the store is detected even if its new revisions have passed
// the old ones.
func (w *Watch) step(ctx context.Context, at sandbarrow.StoreRevision, known, up bool) (sandbarrow.StoreRevision, error) {
	if !known {
		ctx, cancel := context.WithTimeout(ctx, readTimeout)
		defer cancel()
		requestedAt := boottime.Now()
		items, at, err := w.Store.Range(ctx, w.Prefix)
		if err == nil {
			w.Consumer.Replace(items, at)
		}
		if err == nil && w.OnFullRead != nil {
			w.OnFullRead(requestedAt, items)
		}
		return at, err
	}
	wait := w.wait()
	if !up {
		wait = 0
	}
	began := time.Now()
	call, cancel := context.WithTimeout(ctx, wait+w.responses.bound())
	defer cancel()
	items, next, err := w.Store.WatchPrefix(call, w.Prefix, at, wait)
	switch {
	case err == nil:
		w.responses.observe(time.Since(began) - wait)
		w.Consumer.Update(items, next)
	case call.Err() != nil:
		w.responses.timedOut()
	}
	return next, err
}

// wait returns how long the next watch waits.
func (w *Watch) wait() time.Duration {
	processes := w.processCount()
	if w.Busy {
		processes = 1
	}
	return drawWait(w.Wait, processes)
}
