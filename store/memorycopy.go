package store

import (
	"maps"

	"sandbarrow.example/sandbarrow"
)

// MemoryCopy is the state of a Memory at one time.
type MemoryCopy struct {
	gone      map[string]uint64
	items     map[string]memoryItem
	leases    map[sandbarrow.LeaseID]memoryLease
	nextLease int
	revision  uint64
}

// Copy returns the state as it is now, for Restore.
func (m *Memory) Copy() MemoryCopy {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := MemoryCopy{
		gone: maps.Clone(m.gone), items: maps.Clone(m.items), leases: map[sandbarrow.LeaseID]memoryLease{},
		nextLease: m.nextLease, revision: m.revision,
	}
	for id, l := range m.leases {
		c.leases[id] = *l
	}
	return c
}

// Era counts how often the store has returned to a copy.
func (m *Memory) Era() sandbarrow.StoreEra {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.era
}

// Restore returns to an earlier state and begins the next era. Revisions and leases that were given
// out since the copy are given out again; leases that the copy has begin anew.
func (m *Memory) Restore(c MemoryCopy) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.era++
	m.gone, m.items = maps.Clone(c.gone), maps.Clone(c.items)
	m.nextLease, m.revision = c.nextLease, c.revision
	m.leases = map[sandbarrow.LeaseID]*memoryLease{}
	for id, l := range c.leases {
		m.leases[id] = &memoryLease{expires: m.now().Add(l.ttl), ttl: l.ttl}
	}
	close(m.changed)
	m.changed = make(chan struct{})
}
