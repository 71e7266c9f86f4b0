// Package directory holds which upstreams exist, by the platform's lagging list. It
// owns this process's view of the list; while the list can't be read, the last view
// stays. It relies on sandbarrow.InstanceList to read entries, and on package
// prefixwatch or a peer to bring them; gateways use it. All methods of Directory are
// safe for concurrent use. merge.go decides what of that news is newer than what is known;
// lapse.go decides what it means that upstreams are missing, storereturn.go which entries apply after the
// store was restored from an older copy.
package directory

import (
	"log/slog"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/internal/boottime"
)

// listed is an instance with its entry in the list.
type listed struct {
	instance sandbarrow.Instance
	item     sandbarrow.KeyItem
}

// Directory follows the list.
type Directory struct {
	list   sandbarrow.InstanceList
	logger *slog.Logger
	view   atomic.Pointer[View]

	mu sync.Mutex
	// at is the store's revision that the view stands for, confirmedAt when the store
	// or a peer last confirmed it.
	at          sandbarrow.StoreRevision
	confirmedAt time.Time
	// recoveredAt is when the view was confirmed again after an outage.
	recoveredAt time.Time
	// newest is when an upstream was listed that was not known.
	newest time.Time
	// lapsed are upstreams that stay in use for lapseGrace though they left the list, with
	// the revision at which they left; it tells one grace from the next.
	lapsed  map[sandbarrow.ListedID]sandbarrow.StoreRevision
	entries map[sandbarrow.ListedID]listed
	// refused counts the entries that named no upstream.
	refused uint64
	restore restoreState
}

// New returns an empty directory.
func New(list sandbarrow.InstanceList, logger *slog.Logger) *Directory {
	return &Directory{
		entries: map[sandbarrow.ListedID]listed{},
		lapsed:  map[sandbarrow.ListedID]sandbarrow.StoreRevision{},
		list:    list,
		logger:  logger,
		restore: newRestoreState(),
	}
}

// View returns the upstreams as they are known now.
func (d *Directory) View() *View {
	return d.view.Load()
}

// Items returns the entries and the revision that they stand for, for a peer
// that can't read the store. An upstream in its grace is followed by its removal, so
// that it does not stay listed at the peer when its grace is over here.
func (d *Directory) Items() ([]sandbarrow.KeyItem, sandbarrow.StoreRevision) {
	d.mu.Lock()
	defer d.mu.Unlock()
	items := make([]sandbarrow.KeyItem, 0, len(d.entries)+len(d.lapsed))
	for id, l := range d.entries {
		items = append(items, l.item)
		if _, lapsed := d.lapsed[id]; lapsed {
			items = append(items, sandbarrow.KeyItem{Key: l.item.Key, Deleted: true, Revision: d.at})
		}
	}
	return items, d.at
}

// ApplyPeerList applies a peer's entries if they stand for a newer revision, and reports
// whether it did.
func (d *Directory) ApplyPeerList(items []sandbarrow.KeyItem, at sandbarrow.StoreRevision) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if at <= d.at || len(items) == 0 {
		return false
	}
	d.merge(news{items: items, at: at, whole: true})
	return true
}

// Age is how long ago the view was confirmed, by the store or a peer.
func (d *Directory) Age() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return boottime.Since(d.confirmedAt)
}

// LastAdded is when an upstream was listed last that was not known before.
func (d *Directory) LastAdded() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.newest
}

// Replace applies the whole list as it stood at a revision.
func (d *Directory) Replace(items []sandbarrow.KeyItem, at sandbarrow.StoreRevision) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.merge(news{items: items, at: at, whole: true})
}

// confirm keeps that the view stands for a revision now. What stands for an older one
// came late and says nothing of now. The caller holds mu.
func (d *Directory) confirm(at sandbarrow.StoreRevision) {
	if at < d.at {
		return
	}
	now := boottime.Now()
	if !d.confirmedAt.IsZero() && now.Sub(d.confirmedAt) > outageAfter {
		d.recoveredAt = now
	}
	d.at, d.confirmedAt = at, now
}

// apply keeps the entry of an instance that is newer than what is known, and reports whether
// it differs by more than a heartbeat. The caller holds mu.
func (d *Directory) apply(id sandbarrow.ListedID, it sandbarrow.KeyItem, instance sandbarrow.Instance) bool {
	old, known := d.entries[id]
	known = known && old.instance.ID.Matches(instance.ID) // one that has started again is a new one
	if !known {
		d.newest = boottime.Now()
	}
	if !known || old.instance.Draining != instance.Draining {
		d.logger.Info("upstream listed", "upstream", string(instance.ID), "address", instance.Address,
			"service", string(instance.Service), "leaving", instance.Draining, "revision", it.Revision)
	}
	_, returned := d.lapsed[id]
	delete(d.lapsed, id)
	d.entries[id] = listed{instance: instance, item: it}
	return !known || returned || !sameButHeld(&old.instance, &instance)
}

// RefusedEntries is how many entries named no upstream, as they were malformed.
func (d *Directory) RefusedEntries() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.refused
}

// sameButHeld reports whether two entries are the same but for the adapters held.
func sameButHeld(a, b *sandbarrow.Instance) bool {
	return a.ID == b.ID && a.Address == b.Address && a.FailureDomain == b.FailureDomain && a.Draining == b.Draining &&
		a.Service == b.Service && a.Slots == b.Slots
}

// publish makes a new view. Of several instances at one address the one whose
// entry was written last is the one that runs.
func (d *Directory) publish() {
	newest := map[string]listed{}
	for _, l := range d.entries {
		if other, ok := newest[l.instance.Address]; !ok || l.item.Revision > other.item.Revision {
			newest[l.instance.Address] = l
		}
	}
	v := &View{byService: map[sandbarrow.ServiceID][]*sandbarrow.Instance{}}
	for _, l := range newest {
		v.byService[l.instance.Service] = append(v.byService[l.instance.Service], &l.instance)
	}
	for _, list := range v.byService {
		slices.SortFunc(list, func(a, b *sandbarrow.Instance) int { return strings.Compare(a.Address, b.Address) })
	}
	d.view.Store(v)
}
