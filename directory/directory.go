// Package directory holds which upstreams exist, as the platform's lagging
// list tells. While the list can't be read, the last view holds.
package directory

import (
	"cmp"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"sandbarrow.example/sandbarrow"
)

// View is an immutable list of upstreams.
type View struct {
	byService map[sandbarrow.ServiceID][]*sandbarrow.Instance
}

// Service returns the upstreams of a service, ordered by address.
func (v *View) Service(id sandbarrow.ServiceID) []*sandbarrow.Instance {
	if v == nil {
		return nil
	}
	return v.byService[id]
}

// Accepts reports whether an upstream is still listed and takes new work.
func (v *View) Accepts(in *sandbarrow.Instance) bool {
	for _, other := range v.Service(in.Service) {
		if other.ID == in.ID {
			return !other.Draining
		}
	}
	return false
}

// All returns all upstreams.
func (v *View) All() []*sandbarrow.Instance {
	var all []*sandbarrow.Instance
	if v == nil {
		return nil
	}
	for _, list := range v.byService {
		all = append(all, list...)
	}
	return all
}

const (
	// vanishGrace is how long upstreams that left the list together after an
	// outage of the store stay in use: their leases have lapsed in it, and they
	// list themselves again within a heartbeat.
	vanishGrace = 1300 * time.Millisecond
	// outageSilence is how long the store is silent before that is an outage.
	outageSilence = 2500 * time.Millisecond
	// outageEcho is how long after an outage leases may turn out to have lapsed.
	outageEcho = 5 * time.Second
)

// massShare is the part of all upstreams whose leaving at once is taken for a
// lapse of the store.
const massShare = 3

// listed is an instance with the entry that tells of it.
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
	// at is the store's revision that the view stands for, heard when it was
	// last confirmed.
	at    sandbarrow.StoreRevision
	heard time.Time
	// outage is when the store was heard again after an outage.
	outage time.Time
	// newest is when an upstream was listed that was not known.
	newest  time.Time
	fading  map[sandbarrow.InstanceID]bool
	entries map[sandbarrow.InstanceID]listed
}

// New returns an empty directory.
func New(list sandbarrow.InstanceList, logger *slog.Logger) *Directory {
	return &Directory{
		entries: map[sandbarrow.InstanceID]listed{},
		fading:  map[sandbarrow.InstanceID]bool{},
		list:    list,
		logger:  logger,
	}
}

// View returns the upstreams as they are known now.
func (d *Directory) View() *View {
	return d.view.Load()
}

// Items returns the entries and the revision that they stand for, for a peer
// that can't read the store.
func (d *Directory) Items() ([]sandbarrow.KeyItem, sandbarrow.StoreRevision) {
	d.mu.Lock()
	defer d.mu.Unlock()
	items := make([]sandbarrow.KeyItem, 0, len(d.entries))
	for _, l := range d.entries {
		items = append(items, l.item)
	}
	return items, d.at
}

// Adopt takes a peer's entries if they stand for a newer revision, and reports
// whether it did.
func (d *Directory) Adopt(items []sandbarrow.KeyItem, at sandbarrow.StoreRevision) bool {
	d.mu.Lock()
	newer := at > d.at && len(items) > 0
	d.mu.Unlock()
	if newer {
		d.Replace(items, at)
	}
	return newer
}

// Age is how long ago the view was confirmed, by the store or a peer.
func (d *Directory) Age() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Since(d.heard)
}

// LastNew is when an upstream was listed last that was not known before.
func (d *Directory) LastNew() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.newest
}

// Replace takes the whole list.
func (d *Directory) Replace(items []sandbarrow.KeyItem, at sandbarrow.StoreRevision) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.confirm(at)
	present := map[sandbarrow.InstanceID]bool{}
	for _, it := range items {
		present[d.list.InstanceID(it.Key)] = true
		d.put(it)
	}
	var gone []sandbarrow.InstanceID
	for id := range d.entries {
		if !present[id] {
			gone = append(gone, id)
		}
	}
	d.drop(gone)
	d.publish()
}

// Change is a part of the list's history, as gateways tell each other.
type Change struct {
	// Items are the entries that changed more than their heartbeat.
	Items []sandbarrow.KeyItem `json:"items,omitempty"`
	// Since and Mark are the revisions between which Items are complete.
	Since sandbarrow.StoreRevision `json:"since"`
	Mark  sandbarrow.StoreRevision `json:"mark"`
}

// Update takes changes of the list.
func (d *Directory) Update(items []sandbarrow.KeyItem, at sandbarrow.StoreRevision) {
	d.Advance(items, at)
}

// Advance takes changes of the list and returns what others need to know of them.
func (d *Directory) Advance(items []sandbarrow.KeyItem, at sandbarrow.StoreRevision) Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.advance(items, at)
}

// Learn takes a change that another gateway read. It is passed over where it
// does not follow what is known.
func (d *Directory) Learn(c Change) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.at == 0 || c.Since > d.at || c.Mark <= d.at {
		return
	}
	news := slices.DeleteFunc(slices.Clone(c.Items), func(it sandbarrow.KeyItem) bool { return it.Revision <= d.at })
	d.advance(news, c.Mark)
}

// Mark is the revision up to which the list is complete.
func (d *Directory) Mark() sandbarrow.StoreRevision {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.at
}

// advance takes changes. The caller holds mu.
func (d *Directory) advance(items []sandbarrow.KeyItem, at sandbarrow.StoreRevision) Change {
	change := Change{Since: d.at, Mark: at}
	d.confirm(at)
	if len(items) == 0 {
		return change
	}
	last := map[sandbarrow.InstanceID]bool{}
	news := map[sandbarrow.InstanceID]sandbarrow.KeyItem{}
	for _, it := range items {
		id := d.list.InstanceID(it.Key)
		returned := last[id] // it was gone before in these changes
		last[id] = it.Gone
		if it.Gone || d.put(it) || returned {
			news[id] = it
		}
	}
	change.Items = slices.SortedFunc(maps.Values(news), func(a, b sandbarrow.KeyItem) int { return cmp.Compare(a.Revision, b.Revision) })
	var gone []sandbarrow.InstanceID
	for id, isGone := range last {
		if isGone {
			gone = append(gone, id)
		}
	}
	d.drop(gone)
	d.publish()
	return change
}

// confirm notes that the view stands for a revision now. The caller holds mu.
func (d *Directory) confirm(at sandbarrow.StoreRevision) {
	now := time.Now()
	if !d.heard.IsZero() && now.Sub(d.heard) > outageSilence {
		d.outage = now
	}
	d.at, d.heard = max(d.at, at), now
}

// put takes an entry and reports whether it tells more than a heartbeat. The
// caller holds mu.
func (d *Directory) put(it sandbarrow.KeyItem) bool {
	instance, err := d.list.Instance(it)
	if err != nil {
		d.logger.Warn("upstream entry refused, the last one stays", "key", it.Key, "error", err.Error())
		return false
	}
	old, known := d.entries[instance.ID]
	if !known {
		d.newest = time.Now()
	}
	if !known || old.instance.Draining != instance.Draining {
		d.logger.Info("upstream listed", "upstream", string(instance.ID), "address", instance.Address,
			"service", string(instance.Service), "leaving", instance.Draining, "revision", uint64(it.Revision))
	}
	returned := d.fading[instance.ID]
	delete(d.fading, instance.ID)
	d.entries[instance.ID] = listed{instance: instance, item: it}
	return !known || returned || !sameBeside(&old.instance, &instance)
}

// sameBeside reports whether two entries tell the same beside the adapters held.
func sameBeside(a, b *sandbarrow.Instance) bool {
	return a.Address == b.Address && a.FailureDomain == b.FailureDomain && a.Draining == b.Draining &&
		a.Service == b.Service && a.Slots == b.Slots
}

// drop removes upstreams that left the list, at once or after a grace where so
// many left together that the store has more likely lost their leases.
func (d *Directory) drop(gone []sandbarrow.InstanceID) {
	gone = slices.DeleteFunc(gone, func(id sandbarrow.InstanceID) bool {
		_, known := d.entries[id]
		return !known
	})
	lapsed := !d.outage.IsZero() && time.Since(d.outage) < outageEcho
	mass := lapsed && len(gone) > 1 && len(gone)*massShare >= len(d.entries)
	for _, id := range gone {
		d.logger.Info("upstream no longer listed", "upstream", string(id), "address", d.entries[id].instance.Address, "together", len(gone))
		if !mass {
			delete(d.entries, id)
			continue
		}
		d.fading[id] = true
		time.AfterFunc(vanishGrace, func() { d.expire(id) })
	}
}

// expire ends the grace of an upstream that has not listed itself again.
func (d *Directory) expire(id sandbarrow.InstanceID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.fading[id] {
		delete(d.fading, id)
		delete(d.entries, id)
		d.publish()
	}
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
