package estate

import (
	"context"
	"time"

	"github.com/juju/errors"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/internal/boottime"
)

// This file keeps until when the table in force is known to be the newest one, for those
// who must not act on a table that operators have replaced, as by withdrawing a key.
//
// A time of confirmation is that at which the question was sent, on this process's
// clock that counts suspensions: the store may have answered at any moment since, and an answer may be
// held up for seconds. Between processes it passes as an age, in the answer to a question.

// Reader reads one key of the platform's store as it is now.
type Reader interface {
	Get(ctx context.Context, key string) (sandbarrow.Item, error)
}

// rewriteWindow is how long after a restore of the store the operators may take to rewrite what it has
// lost. Until then a table of the restored copy is not confirmed as the newest one.
const rewriteWindow = 2 * time.Second

// confirmation is what is known of whether the table in force is the newest one.
type confirmation struct {
	// at is the latest time at which nothing newer was known to exist.
	at time.Time
	// notNewer holds, by era, the latest revision of a table known to be no newer than the one in force.
	notNewer map[sandbarrow.StoreEra]sandbarrow.StoreRevision
	// era is the latest era seen, valid if eraKnown.
	era      sandbarrow.StoreEra
	eraKnown bool
	// restoredAt is when the last restore was detected; zero before the first one.
	restoredAt time.Time
	// copyEnd is the latest revision of era that may be of the restored copy.
	copyEnd sandbarrow.StoreRevision
}

// observeEra updates era, and detects a restore if that is not the first era seen.
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

// addNotNewer records that a table of a revision is no newer than the one in force.
func (c *confirmation) addNotNewer(table sandbarrow.StoreRevision) {
	c.notNewer[table.Era()] = max(c.notNewer[table.Era()], table)
}

// invalidate drops the confirmation and restarts rewriteWindow. It is called when a peer knows a newer table
// that the store has lost and the operators have not rewritten yet.
func (c *confirmation) invalidate(mark Watermark) {
	c.at = time.Time{}
	c.copyEnd, c.restoredAt = max(c.copyEnd, mark.Revision), boottime.Now()
}

// confirm records that a table was the newest one at the time asked. It ignores tables that may be newer than
// the one in force, and within rewriteWindow those that may be of the restored copy.
func (c *confirmation) confirm(asked time.Time, table sandbarrow.StoreRevision) {
	mayBeCopy := !c.restoredAt.IsZero() && table.Era() == c.era && table <= c.copyEnd
	if mayBeCopy && asked.Before(c.restoredAt.Add(rewriteWindow)) {
		return
	}
	if c.notNewer[table.Era()] >= table && asked.After(c.at) {
		c.at = asked
	}
}

// Confirm keeps that a table was the newest one at a time. It counts only where that
// table, or a newer one, is in force here. Within rewriteWindow of a restore of the store
// it counts only for a table that was written since the restore.
func (e *Estate) Confirm(asked time.Time, table sandbarrow.StoreRevision) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.confirmation.confirm(asked, table)
}

// ConfirmFrom asks the store which table is the newest one, and puts it in force. A watch
// would not do: one may hear nothing for a while before its history is dropped.
func (e *Estate) ConfirmFrom(ctx context.Context, r Reader) error {
	asked := boottime.Now()
	item, err := r.Get(ctx, e.documents.TableKey())
	if err != nil {
		return errors.Annotate(err, "confirm the configuration")
	}
	e.Update([]sandbarrow.KeyItem{{Key: e.documents.TableKey(), Revision: item.Revision, Value: item.Value}}, 0)
	e.Confirm(asked, item.Revision)
	return nil
}

// ConfirmAll keeps that a read of all of the operators' keys, asked for at a time, was the
// newest state then.
func (e *Estate) ConfirmAll(asked time.Time, items []sandbarrow.KeyItem) {
	for _, it := range items {
		if e.documents.IsTable(it.Key) {
			e.Confirm(asked, it.Revision)
		}
	}
}

// Confirmed is the latest time at which the table in force was known to be the newest one,
// and its revision; zero where that was never known.
func (e *Estate) Confirmed() (time.Time, sandbarrow.StoreRevision) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.confirmation.at, e.latest.Revision
}
