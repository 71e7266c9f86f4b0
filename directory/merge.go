package directory

import (
	"cmp"
	"maps"
	"slices"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/internal/boottime"
)

// news is what one answer or message says of the list.
type news struct {
	items []sandbarrow.KeyItem
	// at is the revision up to which the items are complete.
	at sandbarrow.StoreRevision
	// whole says that the items are the list as it stood at that revision, not changes.
	whole bool
}

// merge applies news and returns what other gateways need of it, if it is changes. All
// that is read passes here: the own watch, whole reads and what peers tell. Each may have
// been asked for long ago, so an item counts only where it is newer than what is known of
// its upstream. The caller holds mu.
func (d *Directory) merge(n news) []sandbarrow.KeyItem {
	m := merging{
		Directory: d,
		before:    d.at,
		left:      map[sandbarrow.ListedID]sandbarrow.StoreRevision{},
		told:      map[sandbarrow.ListedID]sandbarrow.KeyItem{},
	}
	d.observeEra(n.at)
	d.confirm(n.at)
	for _, it := range slices.SortedFunc(slices.Values(n.items), byRevision) {
		if m.mergeItem(it, n.whole) {
			m.told[d.list.ListedID(it.Key)] = it
		}
	}
	if n.whole {
		m.leaveAbsent(n)
	}
	d.remove(m.left)
	d.publish()
	return slices.SortedFunc(maps.Values(m.told), byRevision)
}

func byRevision(a, b sandbarrow.KeyItem) int { return cmp.Compare(a.Revision, b.Revision) }

// merging is one merge under way.
type merging struct {
	*Directory
	// before is the revision up to which the list was complete before the merge.
	before sandbarrow.StoreRevision
	// left holds the upstreams that leave with this merge, and since which revision; they
	// are taken out together at its end, so that a lapse can be told from ends.
	left map[sandbarrow.ListedID]sandbarrow.StoreRevision
	// told is what other gateways need that are complete up to before.
	told map[sandbarrow.ListedID]sandbarrow.KeyItem
}

// known returns the revision from which an upstream is known: of its entry or, where it is
// not listed, the one up to which the list is complete. So removals need not be kept: an
// entry that is not held, and is not newer than the complete list, has been removed.
func (m *merging) known(id sandbarrow.ListedID) sandbarrow.StoreRevision {
	if at, left := m.left[id]; left {
		return at
	}
	l, held := m.entries[id]
	if _, lapsed := m.lapsed[id]; held && !lapsed {
		return l.item.Revision
	}
	return m.before
}

// mergeItem applies one item and reports whether other gateways need it.
func (m *merging) mergeItem(it sandbarrow.KeyItem, whole bool) bool {
	id := m.list.ListedID(it.Key)
	lacked := it.Revision > m.before // by others that are complete as far as this one was
	if it.Revision <= m.known(id) {
		return lacked // pages of a whole read may have brought it ahead of its turn
	}
	if it.Deleted {
		if !lacked {
			return false // it has returned since, or it would not be held
		}
		delete(m.restore.pending, id)
		m.leave(id, it.Revision, whole)
		return lacked
	}
	instance, err := m.list.Instance(it)
	if err != nil {
		m.refuse(id, it, err)
		return lacked
	}
	if whole && m.inRestoreGrace() && m.isOutdated(id, it, &instance) {
		m.restore.pending[id] = it
		return false
	}
	_, returned := m.left[id]
	delete(m.left, id)
	delete(m.restore.pending, id)
	differs := m.apply(id, it, instance)
	return lacked && (differs || returned)
}

// refuse takes an upstream out of use whose newest entry names none, as it is malformed or
// was written by something else: it gets nothing new until a good entry follows.
func (m *merging) refuse(id sandbarrow.ListedID, it sandbarrow.KeyItem, why error) {
	m.refused++
	m.logger.Warn("upstream entry refused", "key", it.Key, "revision", it.Revision, "error", why.Error())
	m.left[id] = it.Revision
}

// leave notes that an upstream left the list. A peer's whole list says so only of an
// upstream whose grace runs at the peer, so that it has a grace here too.
func (m *merging) leave(id sandbarrow.ListedID, at sandbarrow.StoreRevision, whole bool) {
	_, held := m.entries[id]
	_, lapsed := m.lapsed[id]
	if whole && held && !lapsed {
		m.beginGrace(id, at, lapseGrace)
		return
	}
	m.left[id] = at
}

// leaveAbsent notes which upstreams a whole list lacks, but for those that are known
// from a newer revision. Those that a restored list lacks get a grace.
func (m *merging) leaveAbsent(n news) {
	present := map[sandbarrow.ListedID]bool{}
	for _, it := range n.items {
		present[m.list.ListedID(it.Key)] = true
	}
	for id := range m.entries {
		if present[id] || m.known(id) > n.at {
			continue
		}
		if _, lapsed := m.lapsed[id]; !lapsed && m.inRestoreGrace() && m.known(id).Era() < n.at.Era() {
			m.beginGrace(id, n.at, boottime.Until(m.restore.graceUntil))
			continue
		}
		m.left[id] = n.at
	}
}
