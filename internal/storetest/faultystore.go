// Package storetest provides a store with injected faults, for tests of code that uses the platform's store.
package storetest

import (
	"context"
	"time"

	"sandbarrow.example/sandbarrow"
)

// Fault is a fault injected into one call.
type Fault int

// The faults that can be injected into a call.
const (
	// None passes the call on.
	None Fault = iota
	// Unavailable refuses the call. Nothing takes effect.
	Unavailable
	// ReplyLost passes the call on and drops its reply. The call takes effect.
	ReplyLost
	// RequestLost drops the call. The caller gets the same error as for ReplyLost.
	RequestLost
)

// Store passes calls on to Inner. Each call suffers the fault that Next returns.
type Store struct {
	Inner sandbarrow.Store
	Next  func() Fault
}

// CompareAndSwap passes the call on.
func (s *Store) CompareAndSwap(ctx context.Context, key string, previous sandbarrow.StoreRevision, value []byte, lease sandbarrow.LeaseID) (sandbarrow.StoreRevision, error) {
	return withFault(s, func() (sandbarrow.StoreRevision, error) {
		return s.Inner.CompareAndSwap(ctx, key, previous, value, lease)
	})
}

// EraSince passes the call on.
func (s *Store) EraSince() (time.Time, bool) { return s.Inner.EraSince() }

// Get passes the call on.
func (s *Store) Get(ctx context.Context, key string) (sandbarrow.Item, error) {
	return withFault(s, func() (sandbarrow.Item, error) { return s.Inner.Get(ctx, key) })
}

// GrantLease passes the call on.
func (s *Store) GrantLease(ctx context.Context, ttl time.Duration) (sandbarrow.LeaseID, error) {
	return withFault(s, func() (sandbarrow.LeaseID, error) { return s.Inner.GrantLease(ctx, ttl) })
}

// RenewLease passes the call on.
func (s *Store) RenewLease(ctx context.Context, lease sandbarrow.LeaseID) (sandbarrow.StoreEra, error) {
	return withFault(s, func() (sandbarrow.StoreEra, error) { return s.Inner.RenewLease(ctx, lease) })
}

// RevokeLease passes the call on.
func (s *Store) RevokeLease(ctx context.Context, lease sandbarrow.LeaseID) error {
	_, err := withFault(s, func() (struct{}, error) { return struct{}{}, s.Inner.RevokeLease(ctx, lease) })
	return err
}

// Watch passes the call on.
func (s *Store) Watch(ctx context.Context, key string, after sandbarrow.StoreRevision) (sandbarrow.Item, error) {
	return withFault(s, func() (sandbarrow.Item, error) { return s.Inner.Watch(ctx, key, after) })
}

func withFault[T any](s *Store, call func() (T, error)) (T, error) {
	var zero T
	switch s.Next() {
	case Unavailable:
		return zero, sandbarrow.ErrStoreUnavailable
	case ReplyLost:
		_, _ = call()
		return zero, sandbarrow.ErrStoreUnknown
	case RequestLost:
		return zero, sandbarrow.ErrStoreUnknown
	}
	return call()
}
