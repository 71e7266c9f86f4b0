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
	// ErrStoreLeaseLost means that the lease does not exist any more.
	ErrStoreLeaseLost = errors.ConstError("store: lease lost")
	// ErrStoreNotFound means that the key is absent.
	ErrStoreNotFound = errors.ConstError("store: key not found")
	// ErrStoreUnavailable means that the call certainly had no effect.
	ErrStoreUnavailable = errors.ConstError("store: unavailable")
	// ErrStoreUnknown means that the call may have taken effect.
	ErrStoreUnknown = errors.ConstError("store: outcome unknown")
)

// Item is a value with the store's revision of its key.
type Item struct {
	Revision StoreRevision
	Value    []byte
}

// LeaseStore is the part of the platform's key-value service that leases need.
type LeaseStore interface {
	// CompareAndSwap writes value if the key is at previous (0: absent). A
	// non-empty lease ties the key's life to it.
	CompareAndSwap(ctx context.Context, key string, previous StoreRevision, value []byte, lease LeaseID) (StoreRevision, error)
	// Get reads a key.
	Get(ctx context.Context, key string) (Item, error)
	// GrantLease creates a lease that ends unless renewed within ttl.
	GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// RenewLease starts a lease's ttl anew.
	RenewLease(ctx context.Context, lease LeaseID) error
	// RevokeLease ends a lease and removes its keys.
	RevokeLease(ctx context.Context, lease LeaseID) error
}

// Store is the platform's key-value service.
type Store interface {
	LeaseStore
	// Watch waits until the key is past after and reads it. It returns
	// ErrStoreNotFound when the wait ends without a change.
	Watch(ctx context.Context, key string, after StoreRevision) (Item, error)
}
