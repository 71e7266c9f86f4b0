package directory

import (
	"maps"
	"time"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/internal/boottime"
)

// After an outage of the store, upstreams may be missing from the list although they still run.
// Their leases expired during the outage, and they list themselves again within a heartbeat.
const (
	// lapseGrace is how long upstreams stay in use after they were removed from the list together
	// after an outage. They list themselves again within two heartbeats of 0.5 s.
	lapseGrace = 1300 * time.Millisecond
	// outageAfter is the time without a response of the store after which it counts as an outage.
	outageAfter = 2500 * time.Millisecond
	// lapseWindow is how long after an outage removals may still be due to lapsed leases.
	lapseWindow = 5 * time.Second
	// lapseDivisor: a removal counts as a lapse only if it affects at least 1/lapseDivisor of
	// all upstreams.
	lapseDivisor = 3
)

// isLapse decides whether upstreams that were removed from the list together have more
// likely lost their leases in an outage of the store than exited.
//
// Inputs: how many were removed at once, how many there were, and the time since the store
// responded again after an outage. The time is negative if there was no outage.
func isLapse(removed, all int, sinceOutage time.Duration) bool {
	return sinceOutage >= 0 && sinceOutage < lapseWindow && removed > 1 && removed*lapseDivisor >= all
}

// remove drops upstreams that were removed from the list, each at a revision. It drops them
// immediately or, after a lapse, at the end of lapseGrace. The caller holds mu.
func (d *Directory) remove(removed map[sandbarrow.ListedID]sandbarrow.StoreRevision) {
	maps.DeleteFunc(removed, func(id sandbarrow.ListedID, _ sandbarrow.StoreRevision) bool {
		_, known := d.entries[id]
		_, lapsed := d.lapsed[id]
		return !known || lapsed // the running grace period decides
	})
	sinceOutage := time.Duration(-1)
	if !d.recoveredAt.IsZero() {
		sinceOutage = boottime.Since(d.recoveredAt)
	}
	lapse := isLapse(len(removed), len(d.entries), sinceOutage)
	for id, at := range removed {
		d.logger.Info("upstream no longer listed", "upstream", string(id), "address", d.entries[id].instance.Address, "together", len(removed))
		if !lapse {
			d.drop(id)
			continue
		}
		d.beginGrace(id, at, lapseGrace)
	}
}

// drop deletes an upstream from the view. The caller holds mu.
func (d *Directory) drop(id sandbarrow.ListedID) {
	exited := d.entries[id].instance
	d.restore.recordExited(id, exited.ID)
	d.recordSoftware(&exited)
	delete(d.entries, id)
}

// beginGrace keeps a removed upstream in use until the end of a grace period. The caller holds mu.
func (d *Directory) beginGrace(id sandbarrow.ListedID, at sandbarrow.StoreRevision, grace time.Duration) {
	d.lapsed[id] = at
	time.AfterFunc(grace, func() { d.expire(id, at) })
}

// expire ends the grace period of an upstream that was removed at a revision and has not
// listed itself again since.
func (d *Directory) expire(id sandbarrow.ListedID, at sandbarrow.StoreRevision) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if removed, lapsed := d.lapsed[id]; lapsed && removed == at {
		delete(d.lapsed, id)
		d.drop(id)
		d.publish()
	}
}
