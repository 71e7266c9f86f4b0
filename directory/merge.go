package directory

import (
	"cmp"
	"maps"
	"slices"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/internal/boottime"
)

// listUpdate is the content of one store response or peer message about the list.
type listUpdate struct {
	items []sandbarrow.KeyItem
	// at is the revision up to which the items are complete.
	at sandbarrow.StoreRevision
	// complete says that the items are the complete list at that revision, not changes.
	complete bool
}

// merge applies an update and returns the items that other gateways need, if it consists of
// changes. All updates are applied here: those of the own watch, of full reads and of peers.
// Each may have been requested long ago. An item is therefore applied only if it is newer
// than the known state of its upstream. The caller holds mu.
func (d *Directory) merge(n listUpdate) []sandbarrow.KeyItem {
	m := merging{
		Directory: d,
		before:    d.at,
		removed:   map[sandbarrow.ListedID]sandbarrow.StoreRevision{},
		forPeers:  map[sandbarrow.ListedID]sandbarrow.KeyItem{},
	}
	d.observeEra(n.at)
	d.confirm(n.at)
	for _, it := range slices.SortedFunc(slices.Values(n.items), byRevision) {
		if m.mergeItem(it, n.complete) {
			m.forPeers[d.list.ListedID(it.Key)] = it
		}
	}
	if n.complete {
		m.removeAbsent(n)
	}
	d.remove(m.removed)
	d.publish()
	return slices.SortedFunc(maps.Values(m.forPeers), byRevision)
}

func byRevision(a, b sandbarrow.KeyItem) int { return cmp.Compare(a.Revision, b.Revision) }

// merging is the state of one merge.
type merging struct {
	*Directory
	// before is the revision up to which the list was complete before the merge.
	before sandbarrow.StoreRevision
	// removed holds the upstreams that this merge removes, with the revision of the removal.
	// They are dropped together at its end. Their number decides whether the removals are due
	// to lapsed leases or to exits.
	removed map[sandbarrow.ListedID]sandbarrow.StoreRevision
	// forPeers holds the items that other gateways need if they are complete up to before.
	forPeers map[sandbarrow.ListedID]sandbarrow.KeyItem
}

// known returns the revision of the known state of an upstream. It is the revision of its
// entry or, if it is not listed, the revision up to which the list is complete. This makes
// records of past removals unnecessary: an entry that is missing here and is not newer than
// the complete list has been removed.
func (m *merging) known(id sandbarrow.ListedID) sandbarrow.StoreRevision {
	if at, removed := m.removed[id]; removed {
		return at
	}
	l, exists := m.entries[id]
	if _, lapsed := m.lapsed[id]; exists && !lapsed {
		return l.item.Revision
	}
	return m.before
}

// mergeItem applies one item and reports whether other gateways need it.
func (m *merging) mergeItem(it sandbarrow.KeyItem, complete bool) bool {
	id := m.list.ListedID(it.Key)
	neededByPeers := it.Revision > m.before // by peers whose list is complete up to before
	if it.Revision <= m.known(id) {
		return neededByPeers // a late page of an earlier full read may already have delivered it
	}
	if it.Deleted {
		if !neededByPeers {
			return false // it is still listed, which means that it was listed again later
		}
		delete(m.restore.pending, id)
		m.removeListed(id, it.Revision, complete)
		return neededByPeers
	}
	instance, err := m.list.Instance(it)
	if err != nil {
		m.refuse(id, it, err)
		return neededByPeers
	}
	if complete && m.inRestoreGrace() && m.isOutdated(id, it, &instance) {
		m.restore.pending[id] = it
		return false
	}
	_, relisted := m.removed[id]
	delete(m.removed, id)
	delete(m.restore.pending, id)
	differs := m.apply(id, it, instance)
	return neededByPeers && (differs || relisted)
}

// refuse removes an upstream whose newest entry is malformed or was written by another
// program. The upstream gets no new requests until a valid entry follows.
func (m *merging) refuse(id sandbarrow.ListedID, it sandbarrow.KeyItem, cause error) {
	m.refused++
	m.refusals.Warn("upstream entry refused", it.Key, cause, "revision", it.Revision)
	m.removed[id] = it.Revision
}

// removeListed records that an upstream was removed from the list. A peer's complete list has
// such an item only for an upstream in its grace period at the peer. It then gets a grace
// period here too.
func (m *merging) removeListed(id sandbarrow.ListedID, at sandbarrow.StoreRevision, complete bool) {
	_, exists := m.entries[id]
	_, lapsed := m.lapsed[id]
	if complete && exists && !lapsed {
		m.beginGrace(id, at, lapseGrace)
		return
	}
	m.removed[id] = at
}

// removeAbsent records the upstreams that are missing from a complete list, except those
// known from a newer revision. Upstreams missing from a restored list get a grace period.
func (m *merging) removeAbsent(n listUpdate) {
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
		m.removed[id] = n.at
	}
}
