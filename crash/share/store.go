package share

import (
	"context"
	"encoding/json"
	"log/slog"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/crash"
	"sandbarrow.example/sandbarrow/internal/refusallog"
	"sandbarrow.example/sandbarrow/prefixwatch"
)

const (
	// writeTimeout bounds one write.
	writeTimeout = 700 * time.Millisecond
	// maxKeysPerWrite is the number of keys that the platform allows in one write.
	maxKeysPerWrite = 32
	// minStoredCrashes is the number of crashes from which a request is stored while controllers
	// relay the records. Most requests that ran next to one crash are never seen again, and each
	// write has a cost.
	minStoredCrashes = 2
)

// StorePrefix is the key prefix under which gateways store fatal requests in the platform's store.
// Each gateway writes its own key for each such request, so no write overwrites another one.
const StorePrefix = "sandbarrow/crash/"

// PartStorePrefix is StorePrefix for parts of prompts.
const PartStorePrefix = "sandbarrow/crash-parts/"

// StoreConfig is the configuration of a Store.
type StoreConfig struct {
	// Box is the box of this gateway. No other gateway may have the same one.
	Box     sandbarrow.BoxID
	Crashes *crash.Log
	// Era returns the store's era as far as this process knows.
	Era func() sandbarrow.StoreEra
	// Linked reports whether any controller is linked.
	Linked func() bool
	Logger *slog.Logger
	// Prefix is that of the keys.
	Prefix string
	Store  sandbarrow.PrefixStore
}

// Store writes this gateway's records of fatal requests to the platform's store, and reads those of
// other gateways. It reads them at the start, and watches for changes while no controller is linked.
type Store struct {
	config   StoreConfig
	refusals *refusallog.Log
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

// NewStore returns a Store; Run starts it.
func NewStore(c StoreConfig) *Store {
	return &Store{config: c, refusals: refusallog.New(c.Logger), written: map[crash.Fingerprint]bool{}}
}

// Run writes and reads records until ctx ends. It returns nil.
func (s *Store) Run(ctx context.Context) error {
	watch := prefixwatch.Watch{
		Consumer: s, Covered: s.config.Linked, Logger: s.config.Logger, Prefix: s.config.Prefix, Store: s.config.Store, Wait: prefixwatch.DefaultWait,
	}
	var group errgroup.Group
	group.Go(func() error { return watch.Run(ctx) })
	group.Go(func() error { return onChanges(ctx, s.config.Crashes, s.writeChanges) })
	return group.Wait()
}

// Replace merges all stored records.
func (s *Store) Replace(items []sandbarrow.KeyItem, at sandbarrow.StoreRevision) {
	s.Update(items, at)
}

// Update merges records that gateways have written.
func (s *Store) Update(items []sandbarrow.KeyItem, _ sandbarrow.StoreRevision) {
	for _, it := range items {
		if it.Deleted {
			continue // each Log expires its records by itself
		}
		var r storedRecord
		if err := json.Unmarshal(it.Value, &r); err != nil {
			s.refusals.Warn("kept request not read", it.Key, err)
			continue
		}
		elapsed := max(0, time.Now().UnixMilli()-int64(r.Written))
		if !s.config.Crashes.Merge(s, []crash.Record{r.Aged(elapsed)}) {
			s.mu.Lock()
			s.staleKeys = append(s.staleKeys, it.Key)
			s.mu.Unlock()
		}
	}
}

// writeChanges writes the changed records that are worth storing, and removes expired ones. Failed
// writes are retried.
func (s *Store) writeChanges(ctx context.Context) {
	s.resetOnRestore(s.config.Era())
	minCrashes := 1
	if s.config.Linked() {
		minCrashes = minStoredCrashes
	}
	records, next := s.config.Crashes.LocalSince(s.sequence)
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
func (s *Store) resetOnRestore(era sandbarrow.StoreEra) {
	if era <= s.era {
		return
	}
	s.era, s.sequence = era, 0
	clear(s.written)
}

// write writes records, and reports whether the store has accepted them.
func (s *Store) write(ctx context.Context, records []crash.Record) bool {
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
func (s *Store) removeExpired(ctx context.Context) {
	s.mu.Lock()
	remove := s.staleKeys
	s.staleKeys = nil
	s.mu.Unlock()
	for f := range s.written {
		if !s.config.Crashes.Contains(f) {
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

func (s *Store) commit(ctx context.Context, t sandbarrow.Transaction) bool {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	_, err := s.config.Store.Commit(ctx, t)
	if err != nil {
		s.config.Logger.Info("requests that end upstreams not kept", "error", err.Error())
	}
	return err == nil
}

func (s *Store) key(f crash.Fingerprint) string {
	return s.config.Prefix + f.String() + "/" + string(s.config.Box)
}
