// Package storetest holds a store with faults for the tests of what is built
// on the platform's store.
package storetest

import (
	"context"
	"time"

	"sandbarrow.example/sandbarrow"
)

// Fault is what happens to one call.
type Fault int

// The faults of a call.
const (
	// None lets the call through.
	None Fault = iota
	// Unavailable refuses the call; nothing takes effect.
	Unavailable
	// Lost lets the call take effect and loses its reply.
	Lost
	// Swallowed loses the call; the caller can't tell it from Lost.
	Swallowed
)

// Store passes calls on to the store below, each with the fault that Next gives.
type Store struct {
	Below sandbarrow.Store
	Next  func() Fault
}

// CompareAndSwap passes on.
func (s *Store) CompareAndSwap(ctx context.Context, key string, previous sandbarrow.StoreRevision, value []byte, lease sandbarrow.LeaseID) (sandbarrow.StoreRevision, error) {
	return with(s, func() (sandbarrow.StoreRevision, error) {
		return s.Below.CompareAndSwap(ctx, key, previous, value, lease)
	})
}

// EraSince passes on.
func (s *Store) EraSince() (time.Time, bool) { return s.Below.EraSince() }

// Get passes on.
func (s *Store) Get(ctx context.Context, key string) (sandbarrow.Item, error) {
	return with(s, func() (sandbarrow.Item, error) { return s.Below.Get(ctx, key) })
}

// GrantLease passes on.
func (s *Store) GrantLease(ctx context.Context, ttl time.Duration) (sandbarrow.LeaseID, error) {
	return with(s, func() (sandbarrow.LeaseID, error) { return s.Below.GrantLease(ctx, ttl) })
}

// RenewLease passes on.
func (s *Store) RenewLease(ctx context.Context, lease sandbarrow.LeaseID) (sandbarrow.StoreEra, error) {
	return with(s, func() (sandbarrow.StoreEra, error) { return s.Below.RenewLease(ctx, lease) })
}

// RevokeLease passes on.
func (s *Store) RevokeLease(ctx context.Context, lease sandbarrow.LeaseID) error {
	_, err := with(s, func() (struct{}, error) { return struct{}{}, s.Below.RevokeLease(ctx, lease) })
	return err
}

// Watch passes on.
func (s *Store) Watch(ctx context.Context, key string, after sandbarrow.StoreRevision) (sandbarrow.Item, error) {
	return with(s, func() (sandbarrow.Item, error) { return s.Below.Watch(ctx, key, after) })
}

func with[T any](s *Store, call func() (T, error)) (T, error) {
	var zero T
	switch s.Next() {
	case Unavailable:
		return zero, sandbarrow.ErrStoreUnavailable
	case Lost:
		_, _ = call()
		return zero, sandbarrow.ErrStoreUnknown
	case Swallowed:
		return zero, sandbarrow.ErrStoreUnknown
	}
	return call()
}
