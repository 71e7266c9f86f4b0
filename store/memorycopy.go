package store

import (
	"maps"

	"sandbarrow.example/sandbarrow"
)

// MemoryCopy is a copy of the state of a Memory store.
type MemoryCopy struct {
	deleted   map[string]uint64
	items     map[string]memoryItem
	leases    map[string]memoryLease
	nextLease int
	revision  uint64
}

// Copy returns a copy of the current state, for Restore.
func (m *Memory) Copy() MemoryCopy {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := MemoryCopy{
		deleted: maps.Clone(m.deleted), items: maps.Clone(m.items), leases: map[string]memoryLease{},
		nextLease: m.nextLease, revision: m.revision,
	}
	for id, l := range m.leases {
		c.leases[id] = *l
	}
	return c
}

// Era returns the current era: the number of times that the store was restored from a copy.
func (m *Memory) Era() sandbarrow.StoreEra {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.era
}

// Restore restores an earlier state and begins the next era. Revisions and lease names that were assigned after
// the copy was taken are assigned again. The time to live of the restored leases restarts.
func (m *Memory) Restore(c MemoryCopy) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.era++
	m.restoredAt = m.now()
	m.deleted, m.items = maps.Clone(c.deleted), maps.Clone(c.items)
	m.nextLease, m.revision = c.nextLease, c.revision
	m.leases = map[string]*memoryLease{}
	for id, l := range c.leases {
		m.leases[id] = &memoryLease{expires: m.now().Add(l.ttl), ttl: l.ttl}
	}
	close(m.changed)
	m.changed = make(chan struct{})
}
