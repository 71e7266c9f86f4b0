package gateway

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/crash"
	"sandbarrow.example/sandbarrow/prefixwatch"
)

const (
	// crashPrefix is the prefix of what gateways keep in the platform's store of requests
	// that end upstreams: a key for each such request and each gateway that knows it, so
	// that no write undoes another one.
	crashPrefix = "sandbarrow/crash/"
	// crashKeepTimeout bounds one write.
	crashKeepTimeout = 700 * time.Millisecond
	// mostKeptAtOnce is how many keys one write changes: what the platform allows.
	mostKeptAtOnce = 32
	// keptFrom is from how many ends on a request is kept in the store while controllers
	// relay what is known: most that ran beside one end are never seen again, and each write
	// has its price.
	keptFrom = 2
)

// crashKeeper keeps what this gateway knows of requests that end upstreams in the platform's
// store, and learns what others keep there. It reads at its start, and watches while no
// controller is linked.
type crashKeeper struct {
	gateway *Gateway
	// kept has the requests that were written, sequence is up to which number of the log's
	// changes; both are the writing loop's own.
	kept     map[crash.Fingerprint]bool
	sequence uint64
	// era is the store's era in which they were written; also the writing loop's own.
	era sandbarrow.StoreEra

	mu sync.Mutex
	// outdated are keys that nobody needs any more, as of gateways that are gone.
	outdated []string
}

// keptRecord is a value in the store.
type keptRecord struct {
	crash.Record
	// Written is when it was written: the ages of the record are as of then.
	Written sandbarrow.UnixMillis `json:"written"`
}

func newCrashKeeper(g *Gateway) *crashKeeper {
	return &crashKeeper{gateway: g, kept: map[crash.Fingerprint]bool{}}
}

// run keeps and learns until ctx ends.
func (k *crashKeeper) run(ctx context.Context) error {
	watch := prefixwatch.Watch{
		Consumer: k, Covered: k.gateway.engines.anyUp, Logger: k.gateway.logger, Prefix: crashPrefix, Store: k.gateway.config.Store, Wait: prefixwatch.DefaultWait,
	}
	var group errgroup.Group
	group.Go(func() error { return watch.Run(ctx) })
	group.Go(func() error { return k.gateway.onCrashes(ctx, k.keep) })
	return group.Wait()
}

// Replace learns all that is kept.
func (k *crashKeeper) Replace(items []sandbarrow.KeyItem, at sandbarrow.StoreRevision) {
	k.Update(items, at)
}

// Update learns what gateways have written.
func (k *crashKeeper) Update(items []sandbarrow.KeyItem, _ sandbarrow.StoreRevision) {
	for _, it := range items {
		if it.Deleted {
			continue // each Log forgets by itself
		}
		var r keptRecord
		if err := json.Unmarshal(it.Value, &r); err != nil {
			k.gateway.logger.Warn("kept request not read", "key", it.Key, "error", err.Error())
			continue
		}
		elapsed := max(0, time.Now().UnixMilli()-int64(r.Written))
		if !k.gateway.crashes.Merge(k, []crash.Record{r.Aged(elapsed)}) {
			k.mu.Lock()
			k.outdated = append(k.outdated, it.Key)
			k.mu.Unlock()
		}
	}
}

// keep writes what has changed and is worth it, and removes what is forgotten. What fails is
// tried again.
func (k *crashKeeper) keep(ctx context.Context) {
	k.resetOnRestore(k.gateway.directory.Watermark().Era())
	least := 1
	if k.gateway.engines.anyUp() {
		least = keptFrom
	}
	records, next := k.gateway.crashes.LocalSince(k.sequence)
	records = slices.DeleteFunc(records, func(r crash.Record) bool { return r.Uncleared() < least && !k.kept[r.Fingerprint] })
	for some := range slices.Chunk(records, mostKeptAtOnce) {
		if !k.write(ctx, some) {
			return
		}
	}
	k.sequence = next
	k.removeForgotten(ctx)
}

// resetOnRestore makes keep rewrite all records after a restore of the store, which may have lost them.
func (k *crashKeeper) resetOnRestore(era sandbarrow.StoreEra) {
	if era <= k.era {
		return
	}
	k.era, k.sequence = era, 0
	clear(k.kept)
}

// write writes records, and reports whether the store has taken them.
func (k *crashKeeper) write(ctx context.Context, records []crash.Record) bool {
	t := sandbarrow.Transaction{Put: map[string][]byte{}}
	for i := range records {
		text, err := json.Marshal(keptRecord{Record: records[i], Written: sandbarrow.UnixMillis(time.Now().UnixMilli())})
		if err != nil {
			panic(err) // it holds nothing that can't be encoded
		}
		t.Put[k.key(records[i].Fingerprint)] = text
	}
	if !k.commit(ctx, t) {
		return false
	}
	for i := range records {
		k.kept[records[i].Fingerprint] = true
	}
	return true
}

// removeForgotten removes what the log has forgotten, and what is outdated.
func (k *crashKeeper) removeForgotten(ctx context.Context) {
	k.mu.Lock()
	remove := k.outdated
	k.outdated = nil
	k.mu.Unlock()
	for f := range k.kept {
		if !k.gateway.crashes.Contains(f) {
			remove = append(remove, k.key(f))
			delete(k.kept, f)
		}
	}
	for some := range slices.Chunk(remove, mostKeptAtOnce) {
		if !k.commit(ctx, sandbarrow.Transaction{Remove: some}) {
			k.mu.Lock()
			k.outdated = append(k.outdated, some...)
			k.mu.Unlock()
		}
	}
}

func (k *crashKeeper) commit(ctx context.Context, t sandbarrow.Transaction) bool {
	ctx, cancel := context.WithTimeout(ctx, crashKeepTimeout)
	defer cancel()
	_, err := k.gateway.config.Store.Commit(ctx, t)
	if err != nil {
		k.gateway.logger.Info("requests that end upstreams not kept", "error", err.Error())
	}
	return err == nil
}

func (k *crashKeeper) key(f crash.Fingerprint) string {
	return crashPrefix + f.String() + "/" + string(k.gateway.config.Box)
}
