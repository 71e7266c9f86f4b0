package sandbarrow

import (
	"context"
	"time"

	"github.com/juju/errors"
)

// MaxValueBytes is the largest value that the platform's store holds.
const MaxValueBytes = 1 << 20

// The errors of a Store.
const (
	// ErrStoreConflict means that the key has another revision than expected.
	ErrStoreConflict = errors.ConstError("store: revision conflict")
	// ErrStoreLeaseLost means that the lease no longer exists.
	ErrStoreLeaseLost = errors.ConstError("store: lease lost")
	// ErrStoreNotFound means that the key is absent.
	ErrStoreNotFound = errors.ConstError("store: key not found")
	// ErrStoreUnavailable means that the call certainly had no effect.
	ErrStoreUnavailable = errors.ConstError("store: unavailable")
	// ErrStoreUnknown means that the call may have taken effect.
	ErrStoreUnknown = errors.ConstError("store: outcome unknown")
)

// Item is the value of a key, with the key's revision in the store.
type Item struct {
	// Lease is the lease that the key is attached to. It is empty if there is none or if the store
	// does not report it.
	Lease    LeaseID
	Revision StoreRevision
	Value    []byte
}

// LeaseStore is the part of the platform's key-value service that leases need.
type LeaseStore interface {
	// CompareAndSwap writes value if the key's revision is previous (0: absent). If lease is
	// not empty, the key is deleted when that lease ends. The call fails if previous or lease
	// is of an earlier era.
	CompareAndSwap(ctx context.Context, key string, previous StoreRevision, value []byte, lease LeaseID) (StoreRevision, error)
	// EraSince returns when this process first saw the store's current era, on a clock
	// that includes time suspended, and whether this is the first era it has seen.
	EraSince() (since time.Time, first bool)
	// Get reads a key.
	Get(ctx context.Context, key string) (Item, error)
	// GrantLease creates a lease that expires unless it is renewed within ttl.
	GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// RenewLease restarts the ttl of a lease and returns the store's era. If that era is later
	// than the lease's, the store may have renewed another lease of the same name.
	RenewLease(ctx context.Context, lease LeaseID) (StoreEra, error)
	// RevokeLease ends a lease and deletes its keys. A lease of an earlier era is not revoked.
	RevokeLease(ctx context.Context, lease LeaseID) error
}

// Store is the platform's key-value service.
type Store interface {
	LeaseStore
	// Watch waits until the key's revision is later than after, and then reads the key. It
	// returns ErrStoreNotFound if the wait ends without a change.
	Watch(ctx context.Context, key string, after StoreRevision) (Item, error)
}
