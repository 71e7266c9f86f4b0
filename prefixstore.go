package sandbarrow

import (
	"context"
	"time"

	"github.com/juju/errors"
)

// ErrStoreCompacted means that the store no longer has the history that a
// watch requested. The caller must read the prefix again.
const ErrStoreCompacted = errors.ConstError("store: history compacted")

// KeyItem is the state of one key of a PrefixStore at Revision.
type KeyItem struct {
	Key string
	// Deleted reports that the key was deleted at Revision. The tag keeps the name that gateways and
	// controllers exchange.
	Deleted  bool `json:"Gone"`
	Revision StoreRevision
	Value    []byte
}

// Transaction changes several keys atomically.
type Transaction struct {
	// Expected holds the required revision of each key; 0 means that the key must be absent.
	Expected map[string]StoreRevision
	Put      map[string][]byte
	Remove   []string
}

// PrefixStore is a key-value service that can be read and watched by prefix.
type PrefixStore interface {
	// Commit commits a transaction and returns its revision. ErrStoreConflict
	// means that a key does not have its expected revision.
	Commit(ctx context.Context, t Transaction) (StoreRevision, error)
	// Range reads all keys under a prefix. A watch from the returned revision
	// misses no change.
	Range(ctx context.Context, prefix string) ([]KeyItem, StoreRevision, error)
	// WatchPrefix waits until a key under a prefix has changed after the revision after, or
	// until wait has passed. It returns the changes and the revision to continue from.
	WatchPrefix(ctx context.Context, prefix string, after StoreRevision, wait time.Duration) ([]KeyItem, StoreRevision, error)
}
