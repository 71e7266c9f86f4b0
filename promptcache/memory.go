package promptcache

import (
	"container/list"

	"sandbarrow.example/sandbarrow"
)

// maxLoggedChanges limits the changes that are kept for readers that lag. It covers the changes of an
// engine in some seconds. A reader that lags more gets the complete state.
const maxLoggedChanges = 256

// Memory models the prompt cache of one engine: the parts of the prompts that it has prefilled.
// The least recently used parts are evicted first. The zero value is empty, and stays empty
// until SetCapacity is called. It is not safe for concurrent use.
type Memory struct {
	capacity int
	entries  map[Key]*list.Element
	// order holds the entries, the most recently used first.
	order list.List
	used  int

	// log holds the newest changes; firstLogged is the number of the first of them.
	log         []Change
	firstLogged uint64
}

// entry is one cached part of a prompt.
type entry struct {
	adapter  sandbarrow.AdapterKey
	key      Key
	unshared bool
	// partTokens is the length of the part, prefixTokens that of the prefix that ends with it.
	partTokens, prefixTokens int
}

// SetCapacity sets how many tokens the engine can cache.
func (m *Memory) SetCapacity(tokens int) {
	m.capacity = tokens
	m.shrink()
}

// Use records that the engine has prefilled a prompt with weights of the given version. If the
// version is not known, nothing is recorded, because the cached prefix can't be matched to a
// later request.
func (m *Memory) Use(k sandbarrow.AdapterKey, v sandbarrow.WeightsVersion, prefixes []PromptPrefix) {
	if !v.Known(k) {
		return
	}
	if m.entries == nil {
		m.entries = map[Key]*list.Element{}
	}
	// The longest first, to evict a part before the parts that it depends on.
	for i := len(prefixes) - 1; i >= 0; i-- {
		s := prefixes[i]
		key := s.PrefixHash.key(v)
		if e := m.entries[key]; e != nil {
			m.order.MoveToFront(e)
			continue
		}
		partTokens := s.Tokens
		if i > 0 {
			partTokens -= prefixes[i-1].Tokens
		}
		m.entries[key] = m.order.PushFront(&entry{adapter: k, key: key, unshared: s.Unshared, partTokens: partTokens, prefixTokens: s.Tokens})
		m.used += partTokens
		if !s.Unshared {
			m.record(Change{Key: key, Tokens: s.Tokens})
		}
	}
	m.shrink()
}

// CachedTokens returns how many tokens from the start of a prompt are cached for weights of the
// given version.
func (m *Memory) CachedTokens(v sandbarrow.WeightsVersion, prefixes []PromptPrefix) int {
	return longestCached(v, prefixes, func(k Key) bool { return m.entries[k] != nil })
}

// Drop removes the entries of an adapter. Call it when the adapter is unloaded or replaced.
func (m *Memory) Drop(k sandbarrow.AdapterKey) {
	for e := m.order.Front(); e != nil; {
		next := e.Next()
		if e.Value.(*entry).adapter == k {
			m.remove(e)
		}
		e = next
	}
}

// Clear removes all entries. Call it when the engine has restarted.
func (m *Memory) Clear() {
	for e := m.order.Front(); e != nil; e = m.order.Front() {
		m.remove(e)
	}
}

// Changes returns the changes since the number after, and the number to pass to the next call. If
// that number is too old, all is true and the changes are the complete state.
func (m *Memory) Changes(after uint64) (changes []Change, all bool, next uint64) {
	next = m.firstLogged + uint64(len(m.log))
	if after >= m.firstLogged && after <= next && after > 0 {
		return m.log[after-m.firstLogged:], false, next
	}
	for e := m.order.Front(); e != nil; e = e.Next() {
		if cached := e.Value.(*entry); !cached.unshared {
			changes = append(changes, Change{Key: cached.key, Tokens: cached.prefixTokens})
		}
	}
	return changes, true, max(next, 1)
}

// shrink evicts the least recently used entries until the rest fits.
func (m *Memory) shrink() {
	for m.used > m.capacity && m.order.Back() != nil {
		m.remove(m.order.Back())
	}
}

func (m *Memory) remove(e *list.Element) {
	removed := m.order.Remove(e).(*entry)
	delete(m.entries, removed.key)
	m.used -= removed.partTokens
	if !removed.unshared {
		m.record(Change{Key: removed.key})
	}
}

// record appends a change to the log. Numbers start at 1; 0 requests the complete state.
func (m *Memory) record(c Change) {
	if m.firstLogged == 0 {
		m.firstLogged = 1
	}
	if len(m.log) >= maxLoggedChanges {
		drop := maxLoggedChanges / 2
		m.log = append([]Change(nil), m.log[drop:]...)
		m.firstLogged += uint64(drop)
	}
	m.log = append(m.log, c)
}
