package directory

import "sandbarrow.example/sandbarrow"

// Change is a part of the list's history, as gateways send each other.
type Change struct {
	// Items are the entries that changed more than their heartbeat.
	Items []sandbarrow.KeyItem `json:"items,omitempty"`
	// Since and Mark are the revisions between which Items are complete.
	Since sandbarrow.StoreRevision `json:"since"`
	Watermark  sandbarrow.StoreRevision `json:"mark"`
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

// ApplyPeerChange applies a change that another gateway read. One that does not follow what
// is known is ignored: this gateway reads the list itself then.
func (d *Directory) ApplyPeerChange(c Change) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.at == 0 || c.Since > d.at || c.Watermark <= d.at {
		return
	}
	d.advance(c.Items, c.Watermark)
}

// Watermark is the revision up to which the list is complete.
func (d *Directory) Watermark() sandbarrow.StoreRevision {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.at
}

// advance applies changes. The caller holds mu.
func (d *Directory) advance(items []sandbarrow.KeyItem, at sandbarrow.StoreRevision) Change {
	change := Change{Since: d.at, Watermark: at}
	if len(items) == 0 {
		d.confirm(at) // the most frequent news, which needs no new view
		return change
	}
	change.Items = d.merge(news{items: items, at: at})
	return change
}
