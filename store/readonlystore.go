package store

import (
	"context"
	"time"

	"github.com/juju/errors"

	"sandbarrow.example/sandbarrow"
)

// errReadOnly is returned for each change; nothing took effect.
var errReadOnly = errors.Annotate(sandbarrow.ErrStoreUnavailable, "store is read-only")

// ReadOnly refuses all changes; commands that only look use it.
type ReadOnly struct {
	sandbarrow.Store
}

// CompareAndSwap refuses.
func (ReadOnly) CompareAndSwap(context.Context, string, sandbarrow.StoreRevision, []byte, sandbarrow.LeaseID) (sandbarrow.StoreRevision, error) {
	return 0, errReadOnly
}

// GrantLease refuses.
func (ReadOnly) GrantLease(context.Context, time.Duration) (sandbarrow.LeaseID, error) {
	return "", errReadOnly
}

// RenewLease refuses.
func (ReadOnly) RenewLease(context.Context, sandbarrow.LeaseID) (sandbarrow.StoreEra, error) {
	return 0, errReadOnly
}

// RevokeLease refuses.
func (ReadOnly) RevokeLease(context.Context, sandbarrow.LeaseID) error { return errReadOnly }
