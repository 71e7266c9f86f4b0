package directory

import (
	"cmp"
	"maps"
	"slices"

	"sandbarrow.example/sandbarrow"
)

// Change is a part of the list's history, as gateways send each other.
type Change struct {
	// Items are the entries that changed more than their heartbeat.
	Items []sandbarrow.KeyItem `json:"items,omitempty"`
	// Since and Mark are the revisions between which Items are complete.
	Since sandbarrow.StoreRevision `json:"since"`
	Mark  sandbarrow.StoreRevision `json:"mark"`
}

// Update applies changes of the list.
func (d *Directory) Update(items []sandbarrow.KeyItem, at sandbarrow.StoreRevision) {
	d.Advance(items, at)
}

// Advance applies changes of the list and returns what other gateways need of them.
func (d *Directory) Advance(items []sandbarrow.KeyItem, at sandbarrow.StoreRevision) Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.advance(items, at)
}

// Learn applies a change that another gateway read. One that does not follow what
// is known is ignored: this gateway reads the list itself then.
func (d *Directory) Learn(c Change) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.at == 0 || c.Since > d.at || c.Mark <= d.at {
		return
	}
	newer := slices.DeleteFunc(slices.Clone(c.Items), func(it sandbarrow.KeyItem) bool { return it.Revision <= d.at })
	d.advance(newer, c.Mark)
}

// Mark is the revision up to which the list is complete.
func (d *Directory) Mark() sandbarrow.StoreRevision {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.at
}

// advance applies changes. The caller holds mu.
func (d *Directory) advance(items []sandbarrow.KeyItem, at sandbarrow.StoreRevision) Change {
	change := Change{Since: d.at, Mark: at}
	d.confirm(at)
	if len(items) == 0 {
		return change
	}
	last := map[sandbarrow.InstanceID]bool{}
	changed := map[sandbarrow.InstanceID]sandbarrow.KeyItem{}
	for _, it := range items {
		id := d.list.InstanceID(it.Key)
		returned := last[id] // it was removed before in these changes
		last[id] = it.Gone
		if it.Gone || d.apply(it) || returned {
			changed[id] = it
		}
	}
	change.Items = slices.SortedFunc(maps.Values(changed), func(a, b sandbarrow.KeyItem) int { return cmp.Compare(a.Revision, b.Revision) })
	var left []sandbarrow.InstanceID
	for id, removed := range last {
		if removed {
			left = append(left, id)
		}
	}
	d.remove(left)
	d.publish()
	return change
}
