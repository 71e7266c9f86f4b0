package controller

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/juju/errors"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/demand"
	"sandbarrow.example/sandbarrow/enginelink"
	"sandbarrow.example/sandbarrow/internal/pause"
)

const (
	// demandKeyPrefix and demandKeyName enclose the service in the key under which its demand is
	// stored.
	demandKeyPrefix = "sandbarrow/demand/"
	demandKeyName   = "/adapters"
	// demandWriteInterval is the shortest interval between two writes.
	demandWriteInterval = 5 * time.Second
	// demandTimeout bounds one call to the store.
	demandTimeout = 700 * time.Millisecond
)

// demandKeeper adds up the demand for adapters that gateways report, and keeps the busiest in the
// platform's store. Two controllers of a service get the reports. The one that most reports name as
// the first writes. It is safe for concurrent use.
type demandKeeper struct {
	key     string
	logger  *slog.Logger
	metrics *metrics
	now     func() time.Time
	store   sandbarrow.PrefixStore

	mu     sync.Mutex
	counts demand.Counts
	// first and second count the reports since the last decision to write, by whether they named
	// this process as the first.
	first, second int
	// revision is that of the stored value, if it is known.
	revision sandbarrow.StoreRevision
	known    bool
	// stored is the list in the store as last read or written here.
	stored demand.List
}

func newDemandKeeper(c *Config, m *metrics, now func() time.Time) *demandKeeper {
	return &demandKeeper{key: demandKeyPrefix + string(c.Service) + demandKeyName, logger: c.Logger, metrics: m, now: now, store: c.Store}
}

// report adds a gateway's counts.
func (k *demandKeeper) report(q *enginelink.ReportDemand) {
	now := k.now()
	k.mu.Lock()
	defer k.mu.Unlock()
	if q.First {
		k.first++
	} else {
		k.second++
	}
	for _, a := range q.Adapters {
		if a.Adapter != "" && a.Requests > 0 {
			k.counts.Add(now, sandbarrow.AdapterKey{Adapter: a.Adapter, Model: a.Model}, a.Requests)
		}
	}
}

// run writes the demand until ctx ends.
func (k *demandKeeper) run(ctx context.Context) error {
	for ctx.Err() == nil {
		pause.For(ctx, demandWriteInterval+rand.N(demandWriteInterval/5))
		if k.isFirst() {
			k.write(ctx)
		}
	}
	return nil
}

// isFirst decides whether this process writes: whether most reports since the last decision named
// it as the first. Gateways that miss a link name another process.
func (k *demandKeeper) isFirst() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	first := k.first > k.second
	k.first, k.second = 0, 0
	return first
}

// write stores the busiest adapters if they have changed much since the last write. After a write of
// another process, it reads the value and merges it. An empty list never replaces a stored one.
func (k *demandKeeper) write(ctx context.Context) {
	k.mu.Lock()
	known := k.known
	k.mu.Unlock()
	if !known {
		if _, err := k.read(ctx); err != nil {
			return
		}
	}
	k.mu.Lock()
	list, revision, stored := k.counts.Busiest(k.now()), k.revision, k.stored
	k.mu.Unlock()
	if len(list) == 0 || !list.ChangedFrom(stored) {
		return
	}
	revision, err := k.commit(ctx, list, revision)
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.known = err == nil; k.known {
		k.revision, k.stored = revision, list
	}
}

// commit writes a list if the stored value still has the given revision.
func (k *demandKeeper) commit(ctx context.Context, list demand.List, previous sandbarrow.StoreRevision) (sandbarrow.StoreRevision, error) {
	text, err := list.Encode()
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, demandTimeout)
	defer cancel()
	revision, err := k.store.Commit(ctx, sandbarrow.Transaction{
		Expected: map[string]sandbarrow.StoreRevision{k.key: previous}, Put: map[string][]byte{k.key: text},
	})
	k.metrics.demandWritten(err)
	if err != nil && !errors.Is(err, sandbarrow.ErrStoreConflict) {
		k.logger.Info("demand not stored", "error", err.Error())
	}
	return revision, err
}

// read reads the stored list and merges it into the counts. A malformed value counts as absent.
func (k *demandKeeper) read(ctx context.Context) (demand.List, error) {
	ctx, cancel := context.WithTimeout(ctx, demandTimeout)
	defer cancel()
	items, _, err := k.store.Range(ctx, k.key)
	if err != nil {
		return nil, errors.Trace(err)
	}
	var list demand.List
	var revision sandbarrow.StoreRevision
	for _, it := range items {
		if it.Key != k.key || it.Deleted {
			continue
		}
		revision = it.Revision
		if list, err = demand.Decode(it.Value); err != nil {
			k.logger.Warn("stored demand ignored", "key", it.Key, "error", err.Error())
		}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.counts.Merge(k.now(), list)
	k.known, k.revision, k.stored = true, revision, list
	return list, nil
}
