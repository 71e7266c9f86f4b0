package store

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"time"

	"sandbarrow.example/sandbarrow"
)

// Commit executes a transaction, or returns ErrStoreConflict if a key is not at its expected revision.
func (m *Memory) Commit(_ context.Context, t sandbarrow.Transaction) (sandbarrow.StoreRevision, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expireLeases()
	for key, revision := range t.Expected {
		if m.inEra(m.items[key].revision) != revision {
			return 0, sandbarrow.ErrStoreConflict
		}
	}
	m.bump()
	for key, value := range t.Put {
		m.items[key] = memoryItem{revision: m.revision, value: value}
		delete(m.deleted, key)
	}
	for _, key := range t.Remove {
		m.remove(key)
	}
	return m.inEra(m.revision), nil
}

// Range returns all keys under a prefix, sorted by key.
func (m *Memory) Range(_ context.Context, prefix string) ([]sandbarrow.KeyItem, sandbarrow.StoreRevision, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expireLeases()
	var items []sandbarrow.KeyItem
	for key, it := range m.items {
		if strings.HasPrefix(key, prefix) {
			items = append(items, sandbarrow.KeyItem{Key: key, Revision: m.inEra(it.revision), Value: it.value})
		}
	}
	slices.SortFunc(items, func(a, b sandbarrow.KeyItem) int { return cmp.Compare(a.Key, b.Key) })
	return items, m.inEra(m.revision), nil
}

// WatchPrefix waits until a key under a prefix changes after a revision, or until wait has passed.
func (m *Memory) WatchPrefix(ctx context.Context, prefix string, after sandbarrow.StoreRevision, wait time.Duration) ([]sandbarrow.KeyItem, sandbarrow.StoreRevision, error) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		items, at, changed := m.since(prefix, after)
		if len(items) > 0 {
			return items, at, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, at, nil
		}
	}
}

// since returns the changes under a prefix after a revision, oldest first.
func (m *Memory) since(prefix string, after sandbarrow.StoreRevision) ([]sandbarrow.KeyItem, sandbarrow.StoreRevision, chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expireLeases()
	var items []sandbarrow.KeyItem
	for key, it := range m.items {
		if m.inEra(it.revision) > after && strings.HasPrefix(key, prefix) {
			items = append(items, sandbarrow.KeyItem{Key: key, Revision: m.inEra(it.revision), Value: it.value})
		}
	}
	for key, number := range m.deleted {
		if m.inEra(number) > after && strings.HasPrefix(key, prefix) {
			items = append(items, sandbarrow.KeyItem{Key: key, Deleted: true, Revision: m.inEra(number)})
		}
	}
	slices.SortFunc(items, func(a, b sandbarrow.KeyItem) int { return cmp.Compare(a.Revision, b.Revision) })
	return items, m.inEra(m.revision), m.changed
}

// remove deletes a key and records the revision of the deletion. The caller holds mu.
func (m *Memory) remove(key string) {
	if _, ok := m.items[key]; ok {
		delete(m.items, key)
		m.deleted[key] = m.revision
	}
}
