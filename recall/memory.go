// Package recall estimates what an engine's own memory still holds: adapters that
// were unloaded recently load from there, without the weight store. It owns no more
// than the order in which adapters were seen, and how many of them are kept; gateways
// and controllers use it.
package recall

import (
	"iter"
	"math"

	"sandbarrow.example/sandbarrow"
)

const (
	// remembered is how many adapters an engine's own memory is expected to keep beside
	// its slots, until loads show it. The deployments seen keep 36 and 54.
	remembered = 30
	// leastRemembered and mostRemembered bound what loads show; one more adapter costs some
	// hundred bytes.
	leastRemembered = 4
	mostRemembered  = 256
)

// Memory is the order in which adapters were last seen in an engine's slots, and at which
// version. Its zero value is empty. It is not safe for concurrent use.
type Memory struct {
	seen map[sandbarrow.AdapterKey]sighting
	// learnt is by how many adapters the size differs from remembered.
	learnt int
	turn   uint64
}

// sighting is an adapter as it was seen last.
type sighting struct {
	turn    uint64
	version sandbarrow.AdapterVersion
}

// MarkLoaded counts the adapters that the engine holds now, with their versions, as the last
// seen.
func (m *Memory) MarkLoaded(held iter.Seq2[sandbarrow.AdapterKey, sandbarrow.AdapterVersion]) {
	if m.seen == nil {
		m.seen = map[sandbarrow.AdapterKey]sighting{}
	}
	m.turn++
	for k, v := range held {
		m.seen[k] = sighting{turn: m.turn, version: v}
	}
	for len(m.seen) > m.size() {
		m.dropOldest()
	}
}

func (m *Memory) dropOldest() {
	var oldest sandbarrow.AdapterKey
	least := uint64(math.MaxUint64)
	for k, s := range m.seen {
		if s.turn < least {
			oldest, least = k, s.turn
		}
	}
	delete(m.seen, oldest)
}

// Forget drops everything, as a restarted engine does.
func (m *Memory) Forget() { m.seen = nil }

// Has reports whether an adapter should still be held at a version or a newer one. An
// older one is no help: engines that had unloaded version 1 shortly before took 248 to
// 261 ms to load version 2, as from the weight store, and 33 ms to load version 2 again.
func (m *Memory) Has(k sandbarrow.AdapterKey, v sandbarrow.AdapterVersion) bool {
	s, ok := m.seen[k]
	return ok && s.version >= v
}

// Learn follows what a load shows of the memory's size: whether the adapter was expected
// there, and whether it came as fast as from there. One that nobody expected shows
// nothing while fewer adapters were seen than are kept.
func (m *Memory) Learn(expected, recalled bool) {
	switch {
	case expected && !recalled:
		m.learnt = max(m.learnt-1, leastRemembered-remembered)
	case !expected && recalled && len(m.seen) >= m.size():
		m.learnt = min(m.learnt+1, mostRemembered-remembered)
	}
}

// size is how many adapters are kept.
func (m *Memory) size() int {
	return remembered + m.learnt
}
