// Package recall estimates which adapters are still in an engine's own memory. Adapters that were
// unloaded recently are loaded from there, without the weight store. It owns only the order in
// which adapters were last seen, and the estimated size of the memory. Gateways and controllers use
// it.
package recall

import (
	"iter"
	"math"

	"sandbarrow.example/sandbarrow"
)

const (
	// defaultSize is how many adapters an engine's own memory is expected to keep beside its slots,
	// until loads show the real size. The deployments seen keep 36 and 54.
	defaultSize = 30
	// minSize and maxSize bound the size that is learned from loads. Each adapter costs about a
	// hundred bytes.
	minSize = 4
	maxSize = 256
)

// Memory is the order in which adapters were last seen in an engine's slots, with their versions.
// Its zero value is empty. It is not safe for concurrent use.
type Memory struct {
	adapters map[sandbarrow.AdapterKey]lastSeen
	// sizeChange is the difference between the learned size and defaultSize.
	sizeChange int
	seq        uint64
}

// lastSeen is when and at which version an adapter was last seen.
type lastSeen struct {
	seq     uint64
	version sandbarrow.AdapterVersion
}

// MarkLoaded marks the adapters that are now loaded in the engine, with their versions, as the most
// recently seen.
func (m *Memory) MarkLoaded(loaded iter.Seq2[sandbarrow.AdapterKey, sandbarrow.AdapterVersion]) {
	if m.adapters == nil {
		m.adapters = map[sandbarrow.AdapterKey]lastSeen{}
	}
	m.seq++
	for k, v := range loaded {
		m.adapters[k] = lastSeen{seq: m.seq, version: v}
	}
	for len(m.adapters) > m.size() {
		m.dropOldest()
	}
}

func (m *Memory) dropOldest() {
	var oldest sandbarrow.AdapterKey
	oldestSeq := uint64(math.MaxUint64)
	for k, s := range m.adapters {
		if s.seq < oldestSeq {
			oldest, oldestSeq = k, s.seq
		}
	}
	delete(m.adapters, oldest)
}

// Forget drops all adapters, because a restarted engine has lost its memory.
func (m *Memory) Forget() { m.adapters = nil }

// Has reports whether the memory should still have an adapter at a version or a newer one. An older
// version does not help: engines that had unloaded version 1 shortly before took 248 to 261 ms to
// load version 2, as from the weight store, and 33 ms to load version 2 again.
func (m *Memory) Has(k sandbarrow.AdapterKey, v sandbarrow.AdapterVersion) bool {
	s, ok := m.adapters[k]
	return ok && s.version >= v
}

// Learn adjusts the estimated size after a load. expected says that the adapter was expected in the
// memory, and recalled that it was loaded as fast as from there. An unexpected recall is ignored
// while fewer adapters were seen than the memory is estimated to keep.
func (m *Memory) Learn(expected, recalled bool) {
	switch {
	case expected && !recalled:
		m.sizeChange = max(m.sizeChange-1, minSize-defaultSize)
	case !expected && recalled && len(m.adapters) >= m.size():
		m.sizeChange = min(m.sizeChange+1, maxSize-defaultSize)
	}
}

// size is the estimated number of adapters in the memory.
func (m *Memory) size() int {
	return defaultSize + m.sizeChange
}
