// Package storeera tracks the era of the platform's store from the responses that this process receives. It
// owns the current era and the time at which this process first saw it. The clients of the store use it.
package storeera

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/juju/errors"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/internal/boottime"
)

// Tracker records the latest era seen. It is safe for concurrent use.
type Tracker struct {
	mu sync.Mutex
	// changed is closed when a later era is seen.
	changed chan struct{}
	era     sandbarrow.StoreEra
	// first reports whether no earlier era was seen.
	first bool
	// since is when era was first seen.
	since time.Time
}

// NewTracker returns a Tracker that has seen no response.
func NewTracker() *Tracker {
	return &Tracker{changed: make(chan struct{}), first: true}
}

// Current returns the latest era seen.
func (t *Tracker) Current() sandbarrow.StoreEra {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.era
}

// Observe parses the era of a response, records it if it is later than the current one, and returns it. An
// empty text yields the current era. A delayed response may be of an earlier era.
func (t *Tracker) Observe(text string) (sandbarrow.StoreEra, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	era := t.era
	if text != "" {
		number, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return 0, errors.NewNotValid(err, "store era")
		}
		era = sandbarrow.StoreEra(number)
	}
	switch {
	case t.since.IsZero():
		t.era, t.since = era, boottime.Now()
	case era > t.era:
		t.era, t.first, t.since = era, false, boottime.Now()
		close(t.changed)
		t.changed = make(chan struct{})
	}
	return era, nil
}

// Since returns when this process first saw the current era, on a clock that includes time suspended, and
// whether this is the first era it has seen. The time is zero before the first response.
func (t *Tracker) Since() (since time.Time, first bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.since, t.first
}

// WithinEra returns a copy of ctx that is also cancelled when an era later than the given one is seen.
func (t *Tracker) WithinEra(ctx context.Context, era sandbarrow.StoreEra) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	t.mu.Lock()
	changed, superseded := t.changed, t.era > era
	t.mu.Unlock()
	if superseded {
		cancel()
		return ctx, cancel
	}
	go func() {
		select {
		case <-changed:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}
