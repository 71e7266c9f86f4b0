package gateway

import (
	"math"

	"sandbarrow.example/sandbarrow"
)

const (
	// rememberedAdapters is how many adapters an engine's own memory keeps
	// beside its slots, as far as a gateway counts on it.
	rememberedAdapters = 30
)

// adapterMemory is the order in which adapters were last seen in an engine's
// slots. The newest of them load fast there.
type adapterMemory struct {
	seen map[sandbarrow.AdapterKey]uint64
	turn uint64
}

// note takes the adapters that an engine holds now.
func (m *adapterMemory) note(keys func(yield func(sandbarrow.AdapterKey) bool)) {
	if m.seen == nil {
		m.seen = map[sandbarrow.AdapterKey]uint64{}
	}
	m.turn++
	for k := range keys {
		m.seen[k] = m.turn
	}
	for len(m.seen) > rememberedAdapters {
		m.dropOldest()
	}
}

func (m *adapterMemory) dropOldest() {
	var oldest sandbarrow.AdapterKey
	least := uint64(math.MaxUint64)
	for k, turn := range m.seen {
		if turn < least {
			oldest, least = k, turn
		}
	}
	delete(m.seen, oldest)
}

// forget drops everything, as a restarted engine does.
func (m *adapterMemory) forget() { m.seen = nil }

// has reports whether an adapter is remembered.
func (m *adapterMemory) has(k sandbarrow.AdapterKey) bool {
	_, ok := m.seen[k]
	return ok
}
