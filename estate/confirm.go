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

// Confirm keeps that a table was the newest one at a time. It counts only where that
// table, or a newer one, is in force here.
func (e *Estate) Confirm(asked time.Time, table sandbarrow.StoreRevision) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.latest.Revision >= table && asked.After(e.confirmed) {
		e.confirmed = asked
	}
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
	return e.confirmed, e.latest.Revision
}
