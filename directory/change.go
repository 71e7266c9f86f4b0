package directory

import "sandbarrow.example/sandbarrow"

// Change is a section of the list's history, as gateways send it to each other.
type Change struct {
	// Items are the entries that changed in more than their heartbeat.
	Items []sandbarrow.KeyItem `json:"items,omitempty"`
	// Since and Watermark are the revisions between which Items are complete.
	Since     sandbarrow.StoreRevision `json:"since"`
	Watermark sandbarrow.StoreRevision `json:"mark"`
}

// Update applies changes of the list.
func (d *Directory) Update(items []sandbarrow.KeyItem, at sandbarrow.StoreRevision) {
	d.Advance(items, at)
}

// Advance applies changes of the list and returns the change to send to other gateways.
func (d *Directory) Advance(items []sandbarrow.KeyItem, at sandbarrow.StoreRevision) Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.advance(items, at)
}

// ApplyPeerChange applies a change that another gateway has read. It ignores a change that
// leaves a gap to the known revisions: this gateway then reads the list itself.
func (d *Directory) ApplyPeerChange(c Change) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.at == 0 || c.Since > d.at || c.Watermark <= d.at {
		return
	}
	d.advance(c.Items, c.Watermark)
}

// Watermark returns the revision up to which the list is complete.
func (d *Directory) Watermark() sandbarrow.StoreRevision {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.at
}

// advance applies changes. The caller holds mu.
func (d *Directory) advance(items []sandbarrow.KeyItem, at sandbarrow.StoreRevision) Change {
	change := Change{Since: d.at, Watermark: at}
	if len(items) == 0 {
		d.confirm(at) // the most frequent case; it needs no new view
		return change
	}
	change.Items = d.merge(listUpdate{items: items, at: at})
	return change
}
