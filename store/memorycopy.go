package store

import (
	"maps"

	"sandbarrow.example/sandbarrow"
)

// MemoryCopy is a copy of the state of a Memory.
type MemoryCopy struct {
	gone      map[string]uint64
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
		gone: maps.Clone(m.gone), items: maps.Clone(m.items), leases: map[string]memoryLease{},
		nextLease: m.nextLease, revision: m.revision,
	}
	for id, l := range m.leases {
		c.leases[id] = *l
	}
	return c
}

// Era returns how often the store was restored from a copy.
func (m *Memory) Era() sandbarrow.StoreEra {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.era
}

// Restore restores an earlier state and begins the next era. Revisions and lease names assigned since the
// copy are assigned again, and the ttl of the restored leases restarts.
func (m *Memory) Restore(c MemoryCopy) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.era++
	m.restoredAt = m.now()
	m.gone, m.items = maps.Clone(c.gone), maps.Clone(c.items)
	m.nextLease, m.revision = c.nextLease, c.revision
	m.leases = map[string]*memoryLease{}
	for id, l := range c.leases {
		m.leases[id] = &memoryLease{expires: m.now().Add(l.ttl), ttl: l.ttl}
	}
	close(m.changed)
	m.changed = make(chan struct{})
}
