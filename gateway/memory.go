package gateway

import (
	"math"
	"time"

	"sandbarrow.example/sandbarrow"
)

const (
	// rememberedAdapters is how many adapters an engine's own memory keeps
	// beside its slots, as far as a gateway counts on it.
	rememberedAdapters = 30
	// demandHalfLife is the time in which the memory of past demand halves.
	demandHalfLife = 8 * time.Second
	// demandEntries bounds the adapters whose demand is remembered.
	demandEntries = 4096
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

// demands counts the requests for each adapter at this gateway, decayed.
type demands struct {
	entries map[sandbarrow.AdapterKey]decayed
}

type decayed struct {
	at    time.Time
	count float64
}

func (d decayed) value(now time.Time) float64 {
	return d.count * math.Exp2(-now.Sub(d.at).Seconds()/demandHalfLife.Seconds())
}

// add counts a request and returns the decayed count.
func (d *demands) add(now time.Time, k sandbarrow.AdapterKey) float64 {
	if d.entries == nil || len(d.entries) >= demandEntries {
		d.sweep(now)
	}
	e := d.entries[k]
	e.count, e.at = e.value(now)+1, now
	d.entries[k] = e
	return e.count
}

// sweep drops what has decayed.
func (d *demands) sweep(now time.Time) {
	kept := map[sandbarrow.AdapterKey]decayed{}
	for k, e := range d.entries {
		if e.value(now) > 1 {
			kept[k] = e
		}
	}
	d.entries = kept
}
