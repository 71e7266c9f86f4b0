// Package directory tracks which upstreams exist, based on the platform's lagging list. It
// owns this process's view of the list. While the list can't be read, the last view stays in
// use. Entries are parsed by a sandbarrow.InstanceList and delivered by package prefixwatch
// or by a peer. Gateways use this package. All methods of Directory are safe for concurrent
// use.
//
// merge.go decides which received entries are newer than the known ones. lapse.go decides
// whether missing upstreams have exited or only lost their leases. storerestore.go decides
// which entries apply after the store was restored from an older copy.
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
	"sandbarrow.example/sandbarrow/internal/refusallog"
)

// listed is an instance together with its entry in the list.
type listed struct {
	instance sandbarrow.Instance
	item     sandbarrow.KeyItem
}

// Directory is the view of the list of upstreams.
type Directory struct {
	list   sandbarrow.InstanceList
	logger *slog.Logger
	view   atomic.Pointer[View]

	mu sync.Mutex
	// at is the revision of the store up to which the view is complete. confirmedAt is when the
	// store or a peer last confirmed the view.
	at          sandbarrow.StoreRevision
	confirmedAt time.Time
	// recoveredAt is when the view was confirmed again after an outage.
	recoveredAt time.Time
	// lastAdded is when an upstream was last listed that was not known before.
	lastAdded time.Time
	// lapsed holds the upstreams that stay in use for a grace period although they were
	// removed from the list. The value is the revision of the removal; it distinguishes one
	// grace period of an upstream from the next.
	lapsed  map[sandbarrow.ListedID]sandbarrow.StoreRevision
	entries map[sandbarrow.ListedID]listed
	// formerSoftware holds the software versions that upstreams no longer have, with when they were
	// last listed.
	formerSoftware map[listedSoftware]time.Time
	// refused counts the malformed entries.
	refused  uint64
	refusals *refusallog.Log
	restore  restoreState
}

// New returns an empty directory.
func New(list sandbarrow.InstanceList, logger *slog.Logger) *Directory {
	return &Directory{
		entries:        map[sandbarrow.ListedID]listed{},
		formerSoftware: map[listedSoftware]time.Time{},
		lapsed:         map[sandbarrow.ListedID]sandbarrow.StoreRevision{},
		list:           list,
		logger:         logger,
		refusals:       refusallog.New(logger),
		restore:        newRestoreState(),
	}
}

// View returns the currently known upstreams.
func (d *Directory) View() *View {
	return d.view.Load()
}

// Items returns the entries and the revision up to which they are complete, for a peer
// that can't read the store. The entry of an upstream in its grace period is followed by
// its removal. Without it, the upstream would stay listed at the peer after the grace period.
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

// ApplyPeerList applies a peer's entries if they are complete up to a newer revision, and
// reports whether it did.
func (d *Directory) ApplyPeerList(items []sandbarrow.KeyItem, at sandbarrow.StoreRevision) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if at <= d.at || len(items) == 0 {
		return false
	}
	d.merge(listUpdate{items: items, at: at, complete: true})
	return true
}

// Age returns how long ago the store or a peer last confirmed the view.
func (d *Directory) Age() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return boottime.Since(d.confirmedAt)
}

// LastAdded returns when an upstream was last listed that was not known before.
func (d *Directory) LastAdded() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.lastAdded
}

// Replace applies the complete list as of a revision.
func (d *Directory) Replace(items []sandbarrow.KeyItem, at sandbarrow.StoreRevision) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.merge(listUpdate{items: items, at: at, complete: true})
}

// confirm records that the view is complete up to a revision now. A message for an older
// revision is late and confirms nothing. The caller holds mu.
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

// apply stores an entry that is newer than the known one. It reports whether the two differ
// in more than the heartbeat. The caller holds mu.
func (d *Directory) apply(id sandbarrow.ListedID, it sandbarrow.KeyItem, instance sandbarrow.Instance) bool {
	if instance.ColdLeft > 0 {
		instance.ColdUntil = boottime.Now().Add(instance.ColdLeft)
	}
	old, known := d.entries[id]
	known = known && old.instance.ID.Matches(instance.ID) // after a restart it is a new instance
	if !known {
		d.lastAdded = boottime.Now()
	}
	if !known || old.instance.Draining != instance.Draining {
		d.logger.Info("upstream listed", "upstream", string(instance.ID), "address", instance.Address,
			"service", string(instance.Service), "software", string(instance.Software), "leaving", instance.Draining, "revision", it.Revision)
	}
	if old.item.Key != "" && old.instance.Software != instance.Software {
		d.recordSoftware(&old.instance)
	}
	_, relisted := d.lapsed[id]
	delete(d.lapsed, id)
	d.entries[id] = listed{instance: instance, item: it}
	return !known || relisted || !sameExceptAdapters(&old.instance, &instance) || coldChanged(&old.instance, &instance)
}

// minColdExtension is by how much the end of a cold start must move to be a change. Two entries of
// the same cold start differ by less.
const minColdExtension = time.Second

// coldChanged reports whether a cold start has begun or ended before its time.
func coldChanged(old, now *sandbarrow.Instance) bool {
	ended := now.ColdUntil.IsZero() && old.ColdUntil.After(boottime.Now().Add(minColdExtension))
	return ended || now.ColdUntil.After(old.ColdUntil.Add(minColdExtension))
}

// RefusedEntries returns how many entries were malformed.
func (d *Directory) RefusedEntries() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.refused
}

// sameExceptAdapters reports whether two entries are equal except for the loaded adapters.
func sameExceptAdapters(a, b *sandbarrow.Instance) bool {
	return a.ID == b.ID && a.Address == b.Address && a.FailureDomain == b.FailureDomain && a.Draining == b.Draining &&
		a.Service == b.Service && a.Slots == b.Slots && a.Software == b.Software
}

// publish builds a new view. If several instances are listed at one address, only the one
// whose entry was written last is running.
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
