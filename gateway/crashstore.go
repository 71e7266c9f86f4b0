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
	// crashPrefix is the key prefix under which gateways store fatal requests in the platform's
	// store. Each gateway writes its own key for each such request, so no write overwrites another
	// one.
	crashPrefix = "sandbarrow/crash/"
	// crashWriteTimeout bounds one write.
	crashWriteTimeout = 700 * time.Millisecond
	// maxKeysPerWrite is the number of keys that the platform allows in one write.
	maxKeysPerWrite = 32
	// minStoredCrashes is the number of crashes from which a request is stored while controllers
	// relay the records. Most requests that ran next to one crash are never seen again, and each
	// write has a cost.
	minStoredCrashes = 2
)

// crashStore writes this gateway's records of fatal requests to the platform's store, and reads
// those of other gateways. It reads them at the start, and watches for changes while no controller
// is linked.
type crashStore struct {
	gateway *Gateway
	// written holds the requests that have been written, sequence the number of the last change of
	// the log that was written. Only the writing loop uses both.
	written  map[crash.Fingerprint]bool
	sequence uint64
	// era is the store's era at the time of these writes. Only the writing loop uses it.
	era sandbarrow.StoreEra

	mu sync.Mutex
	// staleKeys are keys that are no longer needed, such as those of removed gateways.
	staleKeys []string
}

// storedRecord is a value in the store.
type storedRecord struct {
	crash.Record
	// Written is the time of the write. The ages in the record refer to it.
	Written sandbarrow.UnixMillis `json:"written"`
}

func newCrashStore(g *Gateway) *crashStore {
	return &crashStore{gateway: g, written: map[crash.Fingerprint]bool{}}
}

// run writes and reads records until ctx ends.
func (s *crashStore) run(ctx context.Context) error {
	watch := prefixwatch.Watch{
		Consumer: s, Covered: s.gateway.engines.anyUp, Logger: s.gateway.logger, Prefix: crashPrefix, Store: s.gateway.config.Store, Wait: prefixwatch.DefaultWait,
	}
	var group errgroup.Group
	group.Go(func() error { return watch.Run(ctx) })
	group.Go(func() error { return s.gateway.onCrashChanges(ctx, s.writeChanges) })
	return group.Wait()
}

// Replace merges all stored records.
func (s *crashStore) Replace(items []sandbarrow.KeyItem, at sandbarrow.StoreRevision) {
	s.Update(items, at)
}

// Update merges records that gateways have written.
func (s *crashStore) Update(items []sandbarrow.KeyItem, _ sandbarrow.StoreRevision) {
	for _, it := range items {
		if it.Deleted {
			continue // each Log expires its records by itself
		}
		var r storedRecord
		if err := json.Unmarshal(it.Value, &r); err != nil {
			s.gateway.logger.Warn("kept request not read", "key", it.Key, "error", err.Error())
			continue
		}
		elapsed := max(0, time.Now().UnixMilli()-int64(r.Written))
		if !s.gateway.crashes.Merge(s, []crash.Record{r.Aged(elapsed)}) {
			s.mu.Lock()
			s.staleKeys = append(s.staleKeys, it.Key)
			s.mu.Unlock()
		}
	}
}

// writeChanges writes the changed records that are worth storing, and removes expired ones. Failed
// writes are retried.
func (s *crashStore) writeChanges(ctx context.Context) {
	s.resetOnRestore(s.gateway.directory.Watermark().Era())
	minCrashes := 1
	if s.gateway.engines.anyUp() {
		minCrashes = minStoredCrashes
	}
	records, next := s.gateway.crashes.LocalSince(s.sequence)
	records = slices.DeleteFunc(records, func(r crash.Record) bool { return r.Uncleared() < minCrashes && !s.written[r.Fingerprint] })
	for chunk := range slices.Chunk(records, maxKeysPerWrite) {
		if !s.write(ctx, chunk) {
			return
		}
	}
	s.sequence = next
	s.removeExpired(ctx)
}

// resetOnRestore makes writeChanges rewrite all records after a restore of the store, which may
// have lost them.
func (s *crashStore) resetOnRestore(era sandbarrow.StoreEra) {
	if era <= s.era {
		return
	}
	s.era, s.sequence = era, 0
	clear(s.written)
}

// write writes records, and reports whether the store has accepted them.
func (s *crashStore) write(ctx context.Context, records []crash.Record) bool {
	t := sandbarrow.Transaction{Put: map[string][]byte{}}
	for i := range records {
		text, err := json.Marshal(storedRecord{Record: records[i], Written: sandbarrow.UnixMillis(time.Now().UnixMilli())})
		if err != nil {
			panic(err) // all fields can be encoded
		}
		t.Put[s.key(records[i].Fingerprint)] = text
	}
	if !s.commit(ctx, t) {
		return false
	}
	for i := range records {
		s.written[records[i].Fingerprint] = true
	}
	return true
}

// removeExpired removes the keys of records that have expired in the log, and stale keys.
func (s *crashStore) removeExpired(ctx context.Context) {
	s.mu.Lock()
	remove := s.staleKeys
	s.staleKeys = nil
	s.mu.Unlock()
	for f := range s.written {
		if !s.gateway.crashes.Contains(f) {
			remove = append(remove, s.key(f))
			delete(s.written, f)
		}
	}
	for chunk := range slices.Chunk(remove, maxKeysPerWrite) {
		if !s.commit(ctx, sandbarrow.Transaction{Remove: chunk}) {
			s.mu.Lock()
			s.staleKeys = append(s.staleKeys, chunk...)
			s.mu.Unlock()
		}
	}
}

func (s *crashStore) commit(ctx context.Context, t sandbarrow.Transaction) bool {
	ctx, cancel := context.WithTimeout(ctx, crashWriteTimeout)
	defer cancel()
	_, err := s.gateway.config.Store.Commit(ctx, t)
	if err != nil {
		s.gateway.logger.Info("requests that end upstreams not kept", "error", err.Error())
	}
	return err == nil
}

func (s *crashStore) key(f crash.Fingerprint) string {
	return crashPrefix + f.String() + "/" + string(s.gateway.config.Box)
}
