package sandbarrow

import (
	"context"
	"time"

	"github.com/juju/errors"
)

// ErrStoreCompacted means that the store no longer holds the history that a
// watch asked for; read the prefix again.
const ErrStoreCompacted = errors.ConstError("store: history compacted")

// KeyItem is one key of a PrefixStore as it stood at Revision.
type KeyItem struct {
	Key string
	// Deleted says that the key was removed at Revision.
	Deleted     bool
	Revision StoreRevision
	Value    []byte
}

// Transaction changes several keys, all or none.
type Transaction struct {
	// Expected holds the revision of each key that must stand; 0 means absent.
	Expected map[string]StoreRevision
	Put      map[string][]byte
	Remove   []string
}

// PrefixStore is a key-value service that can be read and watched by prefix.
type PrefixStore interface {
	// Commit makes a transaction and returns its revision. ErrStoreConflict
	// means that an expectation does not hold.
	Commit(ctx context.Context, t Transaction) (StoreRevision, error)
	// Range reads all keys under a prefix. The returned revision is the point
	// from which a watch misses nothing.
	Range(ctx context.Context, prefix string) ([]KeyItem, StoreRevision, error)
	// WatchPrefix waits until a key under a prefix changes past after, or until
	// wait has passed, and returns the revision to continue from.
	WatchPrefix(ctx context.Context, prefix string, after StoreRevision, wait time.Duration) ([]KeyItem, StoreRevision, error)
}
