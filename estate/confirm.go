package estate

import (
	"context"
	"time"

	"github.com/juju/errors"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/internal/boottime"
)

// This file records the latest time at which the table in force was confirmed to be the newest one. Some
// decisions must not use a table that operators have replaced, such as one that still lists a revoked API key.
//
// The time of a confirmation is the time at which the request was sent, on this process's boot-time clock, which
// also counts suspensions. The response may be delayed for seconds, and the store may have read the table at
// any moment after the request. Processes send each other the confirmation as an age in a response.

// Reader reads the current value of one key from the platform's store.
type Reader interface {
	Get(ctx context.Context, key string) (sandbarrow.Item, error)
}

// rewriteWindow is the time that operators have, after a restore of the store, to rewrite the keys that were
// lost. Until it ends, a table of the restored copy is not confirmed as the newest one.
const rewriteWindow = 2 * time.Second

// confirmation tracks whether the table in force is known to be the newest one.
type confirmation struct {
	// at is the latest time at which the table in force was confirmed to be the newest one.
	at time.Time
	// notNewer holds, for each era, the highest revision of a table that is no newer than the one in force.
	notNewer map[sandbarrow.StoreEra]sandbarrow.StoreRevision
	// era is the latest era seen. It is valid if eraKnown is set.
	era      sandbarrow.StoreEra
	eraKnown bool
	// restoredAt is when the last restore was detected; zero before the first one.
	restoredAt time.Time
	// copyEnd is the highest revision of era that may belong to the restored copy.
	copyEnd sandbarrow.StoreRevision
}

// observeEra updates era. An era that is later than one seen before means that the store was restored.
func (c *confirmation) observeEra(at sandbarrow.StoreRevision, items []sandbarrow.KeyItem) {
	for _, it := range items {
		at = max(at, it.Revision)
	}
	if at == 0 || c.eraKnown && at.Era() <= c.era {
		return
	}
	if c.eraKnown {
		c.copyEnd, c.restoredAt = at, boottime.Now()
	}
	c.era, c.eraKnown = at.Era(), true
}

// addNotNewer records that the table of a revision is no newer than the one in force.
func (c *confirmation) addNotNewer(table sandbarrow.StoreRevision) {
	c.notNewer[table.Era()] = max(c.notNewer[table.Era()], table)
}

// invalidate drops the confirmation and restarts rewriteWindow. It is called when a peer has a newer table
// that the store has lost and the operators have not rewritten yet.
func (c *confirmation) invalidate(watermark Watermark) {
	c.at = time.Time{}
	c.copyEnd, c.restoredAt = max(c.copyEnd, watermark.Revision), boottime.Now()
}

// confirm records that a table was the newest one at requestedAt. It ignores tables that may be newer than
// the one in force and, within rewriteWindow, those that may belong to the restored copy.
func (c *confirmation) confirm(requestedAt time.Time, table sandbarrow.StoreRevision) {
	mayBeCopy := !c.restoredAt.IsZero() && table.Era() == c.era && table <= c.copyEnd
	if mayBeCopy && requestedAt.Before(c.restoredAt.Add(rewriteWindow)) {
		return
	}
	if c.notNewer[table.Era()] >= table && requestedAt.After(c.at) {
		c.at = requestedAt
	}
}

// Confirm records that a table was the newest one at requestedAt. It has an effect only if that table or a
// newer one is in force in this process. Within rewriteWindow of a restore of the store, the table must also
// have been written after the restore.
func (e *Estate) Confirm(requestedAt time.Time, table sandbarrow.StoreRevision) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.confirmation.confirm(requestedAt, table)
}

// ConfirmFrom reads the newest table from the store, applies it and confirms it. A watch can't replace this
// read: it may miss changes for some time before the store reports that its history was dropped.
func (e *Estate) ConfirmFrom(ctx context.Context, r Reader) error {
	requestedAt := boottime.Now()
	item, err := r.Get(ctx, e.documents.TableKey())
	if err != nil {
		return errors.Annotate(err, "confirm the configuration")
	}
	e.Update([]sandbarrow.KeyItem{{Key: e.documents.TableKey(), Revision: item.Revision, Value: item.Value}}, 0)
	e.Confirm(requestedAt, item.Revision)
	return nil
}

// ConfirmAll confirms the table in a complete read of the operators' keys that was requested at requestedAt.
func (e *Estate) ConfirmAll(requestedAt time.Time, items []sandbarrow.KeyItem) {
	for _, it := range items {
		if e.documents.IsTable(it.Key) {
			e.Confirm(requestedAt, it.Revision)
		}
	}
}

// Confirmed returns the latest time at which the table in force was confirmed to be the newest one, and its
// revision. The time is zero if the table was never confirmed.
func (e *Estate) Confirmed() (time.Time, sandbarrow.StoreRevision) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.confirmation.at, e.latest.Revision
}
