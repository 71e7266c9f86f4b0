package directory

import (
	"time"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/internal/boottime"
)

// After the store was restored from an older copy, the list lacks upstreams that have listed themselves
// since the copy, contains upstreams that have ended since, and shows others in an earlier state. Upstreams
// rewrite their entries within restoreGrace.
const (
	// restoreGrace is how long after a restore known changes take precedence over the restored list.
	restoreGrace = 2500 * time.Millisecond
	// endedRetention is how long ended upstreams are kept. It exceeds the age of the copies that the store is
	// restored from.
	endedRetention = 20 * time.Second
)

// endedUpstream is an upstream that is not listed any more.
type endedUpstream struct {
	at       time.Time
	instance sandbarrow.InstanceID
}

// restoreState is what the directory keeps to handle restores of the store.
type restoreState struct {
	ended map[sandbarrow.ListedID]endedUpstream
	// graceUntil is when the grace after the last restore ends.
	graceUntil time.Time
	// pending holds restored entries that are older than what is known. They are applied at the end of the
	// grace unless a newer entry follows.
	pending map[sandbarrow.ListedID]sandbarrow.KeyItem
}

func newRestoreState() restoreState {
	return restoreState{ended: map[sandbarrow.ListedID]endedUpstream{}, pending: map[sandbarrow.ListedID]sandbarrow.KeyItem{}}
}

// recordEnded keeps an upstream that is taken out of use, and drops those older than endedRetention.
func (r *restoreState) recordEnded(id sandbarrow.ListedID, instance sandbarrow.InstanceID) {
	now := boottime.Now()
	for other, e := range r.ended {
		if now.Sub(e.at) > endedRetention {
			delete(r.ended, other)
		}
	}
	r.ended[id] = endedUpstream{at: now, instance: instance}
}

// observeEra begins the grace if at is of a later era of the store than the list. The caller holds mu.
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

// isOutdated reports whether an entry of a restored list is older than what is known of its upstream: it
// names a start that has ended or that precedes the known one, or lacks a known drain. The caller holds mu.
func (d *Directory) isOutdated(id sandbarrow.ListedID, it sandbarrow.KeyItem, instance *sandbarrow.Instance) bool {
	held, known := d.entries[id]
	if !known {
		ended, recorded := d.restore.ended[id]
		return recorded && ended.instance.Matches(instance.ID)
	}
	if held.item.Revision.Era() >= it.Revision.Era() {
		return false
	}
	if held.instance.ID == instance.ID {
		return held.instance.Draining && !instance.Draining
	}
	if before, now := held.instance.ID.Started(), instance.ID.Started(); before != 0 && now != 0 {
		return now < before
	}
	return it.Revision.Number() <= held.item.Revision.Number()
}

// endRestoreGrace applies the entries that are still pending from the restore that began an era. An
// upstream that drains keeps draining.
func (d *Directory) endRestoreGrace(era sandbarrow.StoreEra) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.at.Era() != era {
		return // another restore has followed
	}
	for id, it := range d.restore.pending {
		instance, err := d.list.Instance(it)
		held, known := d.entries[id]
		drains := known && held.instance.ID == instance.ID && held.instance.Draining
		if err != nil || drains || known && held.item.Revision >= it.Revision {
			continue
		}
		d.apply(id, it, instance)
	}
	clear(d.restore.pending)
	d.publish()
}
