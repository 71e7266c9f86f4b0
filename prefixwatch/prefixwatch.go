// Package prefixwatch follows a prefix of the platform's store: it reads all of the
// prefix, then watches it, and reads all of it again when the store has forgotten
// the history in between. It owns the pace of the calls and the backoff after
// failures, and hands what it reads to a Consumer; gateways and controllers use it.
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

// DefaultWait is the longest wait of one watch of a process alone. A watch whose connection
// has gone silent, without a reset, hides all changes until it is given up, after the wait
// and mostSlack: that must be over well within the 3 s after which a process is held to the
// bound for a change again (TestSilentWatchIsGivenUpInTime, TestRouteSoak).
const DefaultWait = 1200 * time.Millisecond

const (
	// readTimeout bounds a read of all of the prefix: after a loss of all power calls to
	// a store that does not answer take up to 2 s.
	readTimeout = 900 * time.Millisecond
	// expectingPace is the shortest time between two watches while Expecting says so.
	expectingPace = 150 * time.Millisecond
	// paceSpread: the pace is shortened at random by up to one of so many parts.
	paceSpread = 3
	// coveredPause is the pause between two looks whether a watch is still covered.
	coveredPause = 500 * time.Millisecond
	// firstPause and longestPause bound the backoff after a failure, which doubles; many processes
	// pause for longer (sharedPause).
	firstPause   = 100 * time.Millisecond
	longestPause = 800 * time.Millisecond
)

// Consumer applies what a Watch reads. What it was told by others meanwhile may be newer.
type Consumer interface {
	// Replace applies all of the prefix as it stood at a revision.
	Replace(items []sandbarrow.KeyItem, at sandbarrow.StoreRevision)
	// Update applies changes up to a revision.
	Update(items []sandbarrow.KeyItem, at sandbarrow.StoreRevision)
}

// Watch follows one prefix.
type Watch struct {
	// Age is how long ago the consumer's state was last confirmed, by this watch or by
	// other processes that share what they read; nil counts this watch alone.
	Age func() time.Duration
	// Busy says that the prefix changes all the time, so that a watch is answered at once
	// and need not wait longer where many processes share it.
	Busy     bool
	Consumer Consumer
	// OnFullRead is told of each read of all of the prefix, after the consumer has applied it:
	// what stood there, and when the store was asked. A watch tells nothing of that kind:
	// one may hear nothing for a while before its history is dropped. nil is not told.
	OnFullRead func(asked time.Time, items []sandbarrow.KeyItem)
	// Covered says that other processes bring what changes, so that no call is made;
	// nil never does.
	Covered func() bool
	// Expecting says that changes are expected soon, so that expectingPace holds in
	// place of a longer Pace; nil never does.
	Expecting func() bool
	Logger    *slog.Logger
	// Watermark is the revision up to which the consumer is complete, where other processes
	// bring changes too.
	Watermark func() sandbarrow.StoreRevision
	// MinInterval is the shortest time between two watches, so that a busy prefix
	// costs few calls; changes in between arrive together.
	MinInterval   time.Duration
	Prefix string
	// ProcessCount is how many processes follow the prefix and tell each other of each change,
	// this one among them; nil is this one alone.
	ProcessCount func() int
	Store   sandbarrow.PrefixStore
	// Wait is the longest wait of one watch call of a process alone.
	Wait time.Duration

	// answers is how long the store takes to answer.
	answers answerTime
}

// Run follows the prefix until ctx ends.
func (w *Watch) Run(ctx context.Context) error {
	var at sandbarrow.StoreRevision
	known, up := false, true
	var lost time.Time // when the first call of those began that failed
	backoff := firstPause
	for ctx.Err() == nil {
		if w.Covered != nil && w.Covered() {
			known = false // the history may be forgotten meanwhile
			pause.For(ctx, coveredPause)
			continue
		}
		began := time.Now()
		next, err := w.step(ctx, at, known, up)
		switch {
		case err == nil:
			if !up {
				w.Logger.Info("store regained", "prefix", w.Prefix, "revision", next, "lost_ms", time.Since(lost).Milliseconds())
			}
			at, known, up, backoff = next, true, true, firstPause
			w.waitForPace(ctx, began)
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
			// A call that was silent has taken its time: another pause would add to the time in
			// which changes go unheard.
			pause.For(ctx, backoff/2+rand.N(backoff)-time.Since(began))
			backoff = min(2*backoff, sharedPause(w.sharing()))
			w.waitWhileFresh(ctx)
		}
		if known && w.Watermark != nil {
			at = max(at, w.Watermark())
		}
	}
	return nil
}

// waitForPace waits until the next watch is due.
func (w *Watch) waitForPace(ctx context.Context, began time.Time) {
	if w.Age == nil {
		pause.For(ctx, w.pace()-time.Since(began))
	}
	w.waitWhileFresh(ctx)
}

// waitWhileFresh waits while other processes have brought changes within the pace; a
// watch that nobody shares does not wait.
// The pace is shortened at random, so that of many that share their watches one
// is the first.
func (w *Watch) waitWhileFresh(ctx context.Context) {
	if w.Age == nil {
		return
	}
	pace := w.pace()
	pace -= rand.N(pace/paceSpread + 1)
	for left := pace - w.Age(); left > 0 && ctx.Err() == nil; left = pace - w.Age() {
		pause.For(ctx, left)
	}
}

// sharing is how many processes share what they read.
func (w *Watch) sharing() int {
	if w.ProcessCount == nil {
		return 1
	}
	return w.ProcessCount()
}

func (w *Watch) pace() time.Duration {
	if w.Expecting != nil && w.Expecting() {
		return min(w.MinInterval, expectingPace)
	}
	return w.MinInterval
}

// step reads all of the prefix or, if that is known, watches it once. After a failed call the watch does not
// wait, so that a restore of the store is detected even if its new revisions have passed the old ones.
func (w *Watch) step(ctx context.Context, at sandbarrow.StoreRevision, known, up bool) (sandbarrow.StoreRevision, error) {
	if !known {
		ctx, cancel := context.WithTimeout(ctx, readTimeout)
		defer cancel()
		asked := boottime.Now()
		items, at, err := w.Store.Range(ctx, w.Prefix)
		if err == nil {
			w.Consumer.Replace(items, at)
		}
		if err == nil && w.OnFullRead != nil {
			w.OnFullRead(asked, items)
		}
		return at, err
	}
	wait := w.wait()
	if !up {
		wait = 0
	}
	began := time.Now()
	call, cancel := context.WithTimeout(ctx, wait+w.answers.bound())
	defer cancel()
	items, next, err := w.Store.WatchPrefix(call, w.Prefix, at, wait)
	switch {
	case err == nil:
		w.answers.answered(time.Since(began) - wait)
		w.Consumer.Update(items, next)
	case call.Err() != nil:
		w.answers.missed()
	}
	return next, err
}

// wait is how long the next watch waits.
func (w *Watch) wait() time.Duration {
	processes := w.sharing()
	if w.Busy {
		processes = 1
	}
	return drawWait(w.Wait, processes)
}
