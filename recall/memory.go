// Package recall estimates what an engine's own memory still holds: adapters that
// were unloaded recently load from there, without the weight store. It owns no more
// than the order in which adapters were seen; gateways and controllers use it.
package recall

import (
	"math"

	"sandbarrow.example/sandbarrow"
)

// remembered is how many adapters an engine's own memory is expected to keep beside its
// slots. Estimate from loads that were fast, not measured.
const remembered = 30

// Memory is the order in which adapters were last seen in an engine's slots.
// Its zero value is empty. It is not safe for concurrent use.
type Memory struct {
	seen map[sandbarrow.AdapterKey]uint64
	turn uint64
}

// Note counts the adapters that the engine holds now as the last seen.
func (m *Memory) Note(keys func(yield func(sandbarrow.AdapterKey) bool)) {
	if m.seen == nil {
		m.seen = map[sandbarrow.AdapterKey]uint64{}
	}
	m.turn++
	for k := range keys {
		m.seen[k] = m.turn
	}
	for len(m.seen) > remembered {
		m.dropOldest()
	}
}

func (m *Memory) dropOldest() {
	var oldest sandbarrow.AdapterKey
	least := uint64(math.MaxUint64)
	for k, turn := range m.seen {
		if turn < least {
			oldest, least = k, turn
		}
	}
	delete(m.seen, oldest)
}

// Forget drops everything, as a restarted engine does.
func (m *Memory) Forget() { m.seen = nil }

// Has reports whether an adapter should still be held.
func (m *Memory) Has(k sandbarrow.AdapterKey) bool {
	_, ok := m.seen[k]
	return ok
}
