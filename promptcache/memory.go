package promptcache

import (
	"container/list"

	"sandbarrow.example/sandbarrow"
)

// loggedChanges bounds the changes that are remembered for readers that lag; one that lags more is
// told all that is kept: some seconds of an engine.
const loggedChanges = 256

// Memory models what one engine keeps: the parts of the prompts that it has read, the
// ones unused longest giving way. Its zero value keeps nothing and, until SetCapacity,
// no more than that. It is not safe for concurrent use.
type Memory struct {
	capacity int
	entries  map[Key]*list.Element
	// order has the entries, the one used last in front.
	order list.List
	used  int

	// log holds the newest changes; the first of them has the number logged.
	log    []Change
	logged uint64
}

// entry is one part that is kept.
type entry struct {
	adapter sandbarrow.AdapterKey
	key     Key
	own     bool
	// part is the length of the last part alone, stretch that of all.
	part, stretch int
}

// SetCapacity sets how many tokens the engine keeps.
func (m *Memory) SetCapacity(tokens int) {
	m.capacity = tokens
	m.shrink()
}

// Use notes that the engine has read a prompt with weights of a version. Where that is not
// known, nothing is kept: what was read may not be used again.
func (m *Memory) Use(k sandbarrow.AdapterKey, v sandbarrow.WeightsVersion, stretches []PromptPrefix) {
	if !v.Known(k) {
		return
	}
	if m.entries == nil {
		m.entries = map[Key]*list.Element{}
	}
	// The longest first, so that a part gives way before those that it builds on.
	for i := len(stretches) - 1; i >= 0; i-- {
		s := stretches[i]
		key := s.Prefix.key(v)
		if e := m.entries[key]; e != nil {
			m.order.MoveToFront(e)
			continue
		}
		part := s.Tokens
		if i > 0 {
			part -= stretches[i-1].Tokens
		}
		m.entries[key] = m.order.PushFront(&entry{adapter: k, key: key, own: s.Own, part: part, stretch: s.Tokens})
		m.used += part
		if !s.Own {
			m.record(Change{Key: key, Tokens: s.Tokens})
		}
	}
	m.shrink()
}

// CachedTokens is how many tokens from the start of a prompt are kept for weights of a version.
func (m *Memory) CachedTokens(v sandbarrow.WeightsVersion, stretches []PromptPrefix) int {
	return longest(v, stretches, func(k Key) bool { return m.entries[k] != nil })
}

// Drop forgets what is kept for an adapter, as its unload or replacement does.
func (m *Memory) Drop(k sandbarrow.AdapterKey) {
	for e := m.order.Front(); e != nil; {
		next := e.Next()
		if e.Value.(*entry).adapter == k {
			m.remove(e)
		}
		e = next
	}
}

// Clear forgets all, as a restart of the engine does.
func (m *Memory) Clear() {
	for e := m.order.Front(); e != nil; e = m.order.Front() {
		m.remove(e)
	}
}

// Changes returns what has changed since a number, and the number to ask after next.
// all says that the changes are all that is kept, since the number is too old.
func (m *Memory) Changes(after uint64) (changes []Change, all bool, next uint64) {
	next = m.logged + uint64(len(m.log))
	if after >= m.logged && after <= next && after > 0 {
		return m.log[after-m.logged:], false, next
	}
	for e := m.order.Front(); e != nil; e = e.Next() {
		if kept := e.Value.(*entry); !kept.own {
			changes = append(changes, Change{Key: kept.key, Tokens: kept.stretch})
		}
	}
	return changes, true, max(next, 1)
}

// shrink drops the entries that were unused longest until the rest fits.
func (m *Memory) shrink() {
	for m.used > m.capacity && m.order.Back() != nil {
		m.remove(m.order.Back())
	}
}

func (m *Memory) remove(e *list.Element) {
	gone := m.order.Remove(e).(*entry)
	delete(m.entries, gone.key)
	m.used -= gone.part
	if !gone.own {
		m.record(Change{Key: gone.key})
	}
}

// record appends to the log. Numbers begin with 1, so that 0 asks for all.
func (m *Memory) record(c Change) {
	if m.logged == 0 {
		m.logged = 1
	}
	if len(m.log) >= loggedChanges {
		drop := loggedChanges / 2
		m.log = append([]Change(nil), m.log[drop:]...)
		m.logged += uint64(drop)
	}
	m.log = append(m.log, c)
}
