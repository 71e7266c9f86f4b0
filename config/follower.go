package config

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/internal/pause"
)

// followPause is the mean pause after a failed watch; it is jittered so that boxes do not come back
// together after an outage.
const followPause = 500 * time.Millisecond

// ErrReverts is the error of a head that is older than the one in force, or of
// the same revision with another digest.
const ErrReverts = errors.ConstError("config: would revert")

// Follower keeps a box at the newest configuration it has heard of, from the
// store or from peers. It never goes back.
type Follower struct {
	logger *slog.Logger
	store  sandbarrow.Store
	view   atomic.Pointer[View]

	mu      sync.Mutex
	changed chan struct{}
	// refused is the mark of the last configuration refused with ErrReverts.
	refused  Watermark
	snapshot Snapshot
}

// NewFollower returns a follower that holds nothing yet.
func NewFollower(s sandbarrow.Store, logger *slog.Logger) *Follower {
	return &Follower{changed: make(chan struct{}), logger: logger, store: s}
}

// Changed returns a channel that closes at the next change.
func (f *Follower) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// Watermark names the configuration in force; it is zero before the first.
func (f *Follower) Watermark() Watermark {
	v := f.view.Load()
	if v == nil {
		return Watermark{}
	}
	return Watermark{Digest: v.Digest, Era: v.Era, Revision: v.Revision}
}

// MayLack reports whether the peer's configuration may be newer than the one in force.
func (f *Follower) MayLack(peer Watermark) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return peer != f.refused && peer.maySupersede(f.snapshot.mark())
}

// Offer puts a snapshot in force unless it is invalid or would revert.
func (f *Follower) Offer(s Snapshot) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	current := f.snapshot.Head
	same := s.Head.Revision == current.Revision && s.Head.Digest == current.Digest
	if same && s.Era <= f.snapshot.Era {
		return nil
	}
	if same {
		s.Shards = f.snapshot.Shards // rewritten after a restore of the store
	} else if !s.supersedes(f.snapshot) {
		f.refused = s.mark()
		return errors.Annotatef(ErrReverts, "revision %d era %d digest %.8s, in force is %d era %d digest %.8s",
			s.Head.Revision, s.Era, s.Head.Digest, current.Revision, f.snapshot.Era, current.Digest)
	}
	v, err := NewView(s)
	if err != nil {
		return err
	}
	f.snapshot = s
	f.view.Store(v)
	close(f.changed)
	f.changed = make(chan struct{})
	f.logger.Info("configuration in force", "revision", v.Revision, "digest", string(v.Digest), "era", uint64(v.Era))
	return nil
}

// Run follows the store until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	var seen sandbarrow.StoreRevision
	for ctx.Err() == nil {
		began := time.Now()
		item, err := f.store.Watch(ctx, HeadKey, seen)
		if err == nil {
			if err = f.take(ctx, item); err == nil || errors.Is(err, ErrInvalid) || errors.Is(err, ErrReverts) {
				seen = item.Revision
			}
		}
		if errors.Is(err, ErrReverts) {
			f.logger.Info("older configuration ignored", "error", err.Error())
			continue
		}
		if err == nil || errors.Is(err, sandbarrow.ErrStoreNotFound) || ctx.Err() != nil {
			continue
		}
		f.logger.Warn("configuration not read", "error", err.Error())
		pause.For(ctx, followPause/2+rand.N(followPause)-time.Since(began)) // a silent call has taken its time
	}
	return nil
}

func (f *Follower) take(ctx context.Context, item sandbarrow.Item) error {
	h, err := decodeHead(item.Value)
	if err != nil {
		return err
	}
	current := f.Snapshot()
	s := Snapshot{Era: item.Revision.Era(), Head: h}
	if s.supersedes(current) {
		if s, err = ReadSnapshot(ctx, f.store, h, current.Shards); err != nil {
			return err
		}
		s.Era = item.Revision.Era()
	}
	return f.Offer(s)
}

// Snapshot returns the configuration in force; it must not be changed.
func (f *Follower) Snapshot() Snapshot {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.snapshot
}

// View returns the configuration in force, or nil before the first.
func (f *Follower) View() *View {
	return f.view.Load()
}
