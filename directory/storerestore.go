package directory

import (
	"time"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/internal/boottime"
)

// After the store was restored from an older copy, the list lacks upstreams that were listed after the
// copy was made, contains upstreams that have exited since, and shows others in an earlier state.
// Upstreams rewrite their entries within restoreGrace.
const (
	// restoreGrace is how long after a restore known changes take precedence over the restored list.
	restoreGrace = 2500 * time.Millisecond
	// exitedRetention is how long records of exited upstreams are retained. It exceeds the age of the
	// copies that the store is restored from.
	exitedRetention = 20 * time.Second
)

// exitedUpstream is an upstream that is no longer listed.
type exitedUpstream struct {
	at       time.Time
	instance sandbarrow.InstanceID
}

// restoreState is the state that the directory needs to handle restores of the store.
type restoreState struct {
	exited map[sandbarrow.ListedID]exitedUpstream
	// graceUntil is the end of the grace period after the last restore.
	graceUntil time.Time
	// pending holds restored entries that are older than the known state. They are applied at the end of
	// the grace period unless a newer entry follows.
	pending map[sandbarrow.ListedID]sandbarrow.KeyItem
}

func newRestoreState() restoreState {
	return restoreState{exited: map[sandbarrow.ListedID]exitedUpstream{}, pending: map[sandbarrow.ListedID]sandbarrow.KeyItem{}}
}

// recordExited records an upstream that was dropped, and deletes records older than exitedRetention.
func (r *restoreState) recordExited(id sandbarrow.ListedID, instance sandbarrow.InstanceID) {
	now := boottime.Now()
	for other, e := range r.exited {
		if now.Sub(e.at) > exitedRetention {
			delete(r.exited, other)
		}
	}
	r.exited[id] = exitedUpstream{at: now, instance: instance}
}

// observeEra begins the grace period if at is in a later era of the store than the list. The caller
// holds mu.
func (d *Directory) observeEra(at sandbarrow.StoreRevision) {
	if d.at == 0 || at.Era() <= d.at.Era() {
		return
	}
	d.logger.Warn("store restored from an older copy", "era", uint64(at.Era()), "revision", at, "before", d.at)
	d.restore.graceUntil = boottime.Now().Add(restoreGrace)
	clear(d.restore.pending)
	time.AfterFunc(restoreGrace, func() { d.endRestoreGrace(at.Era()) })
}

// inRestoreGrace reports whether the store was restored within restoreGrace. The caller holds mu.
func (d *Directory) inRestoreGrace() bool {
	return boottime.Now().Before(d.restore.graceUntil)
}

// isOutdated reports whether an entry of a restored list is older than the known state of its upstream.
// Such an entry names an instance that has exited or that started before the known one, or it lacks a
// known drain. The caller holds mu.
func (d *Directory) isOutdated(id sandbarrow.ListedID, it sandbarrow.KeyItem, instance *sandbarrow.Instance) bool {
	current, known := d.entries[id]
	if !known {
		exited, recorded := d.restore.exited[id]
		return recorded && exited.instance.Matches(instance.ID)
	}
	if current.item.Revision.Era() >= it.Revision.Era() {
		return false
	}
	if current.instance.ID == instance.ID {
		return current.instance.Draining && !instance.Draining
	}
	if before, now := current.instance.ID.Started(), instance.ID.Started(); before != 0 && now != 0 {
		return now < before
	}
	return it.Revision.Number() <= current.item.Revision.Number()
}

// endRestoreGrace applies the entries that are still pending after the restore that began an era. A
// draining upstream keeps draining.
func (d *Directory) endRestoreGrace(era sandbarrow.StoreEra) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.at.Era() != era {
		return // another restore has followed
	}
	for id, it := range d.restore.pending {
		instance, err := d.list.Instance(it)
		current, known := d.entries[id]
		draining := known && current.instance.ID == instance.ID && current.instance.Draining
		if err != nil || draining || known && current.item.Revision >= it.Revision {
			continue
		}
		d.apply(id, it, instance)
	}
	clear(d.restore.pending)
	d.publish()
}
