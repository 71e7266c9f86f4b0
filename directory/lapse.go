package directory

import (
	"maps"
	"time"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/internal/boottime"
)

// After an outage of the store upstreams may be missing from the list although they live: their
// leases have lapsed in it, and they list themselves again within a heartbeat.
const (
	// lapseGrace is how long upstreams that left the list together after an outage
	// stay in use: more than the two heartbeats of 0.5 s within which they return.
	lapseGrace = 1300 * time.Millisecond
	// outageAfter is how long the store does not answer before that is an outage.
	outageAfter = 2500 * time.Millisecond
	// lapseWindow is how long after an outage leases may turn out to have lapsed.
	lapseWindow = 5 * time.Second
	// lapseParts: a lapse takes at least one of so many parts of all upstreams.
	lapseParts = 3
)

// isLapse decides whether upstreams that left the list together have more likely
// lost their leases in an outage of the store than ended.
//
// Inputs: how many left at once, how many there were, and the time since the store
// answered again after an outage; it is negative where there was none.
func isLapse(left, all int, sinceOutage time.Duration) bool {
	return sinceOutage >= 0 && sinceOutage < lapseWindow && left > 1 && left*lapseParts >= all
}

// remove takes upstreams that left the list, each since a revision, out of use: at once
// or, after a lapse, when lapseGrace is over. The caller holds mu.
func (d *Directory) remove(left map[sandbarrow.ListedID]sandbarrow.StoreRevision) {
	maps.DeleteFunc(left, func(id sandbarrow.ListedID, _ sandbarrow.StoreRevision) bool {
		_, known := d.entries[id]
		_, lapsed := d.lapsed[id]
		return !known || lapsed // the grace that runs decides
	})
	sinceOutage := time.Duration(-1)
	if !d.recoveredAt.IsZero() {
		sinceOutage = boottime.Since(d.recoveredAt)
	}
	lapse := isLapse(len(left), len(d.entries), sinceOutage)
	for id, at := range left {
		d.logger.Info("upstream no longer listed", "upstream", string(id), "address", d.entries[id].instance.Address, "together", len(left))
		if !lapse {
			d.drop(id)
			continue
		}
		d.beginGrace(id, at, lapseGrace)
	}
}

// drop takes an upstream out of use. The caller holds mu.
func (d *Directory) drop(id sandbarrow.ListedID) {
	d.restore.recordEnded(id, d.entries[id].instance.ID)
	delete(d.entries, id)
}

// beginGrace keeps an upstream that left the list in use until a grace is over. The caller holds mu.
func (d *Directory) beginGrace(id sandbarrow.ListedID, at sandbarrow.StoreRevision, grace time.Duration) {
	d.lapsed[id] = at
	time.AfterFunc(grace, func() { d.expire(id, at) })
}

// expire ends the grace of an upstream that has not listed itself again since it left at
// a revision.
func (d *Directory) expire(id sandbarrow.ListedID, at sandbarrow.StoreRevision) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if left, lapsed := d.lapsed[id]; lapsed && left == at {
		delete(d.lapsed, id)
		d.drop(id)
		d.publish()
	}
}
