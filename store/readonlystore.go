package store

import (
	"context"
	"time"

	"github.com/juju/errors"

	"sandbarrow.example/sandbarrow"
)

// errReadOnly is returned by all write operations. Nothing takes effect.
var errReadOnly = errors.Annotate(sandbarrow.ErrStoreUnavailable, "store is read-only")

// ReadOnly refuses all write operations. It is for commands that only read.
type ReadOnly struct {
	sandbarrow.Store
}

// CompareAndSwap returns an error.
func (ReadOnly) CompareAndSwap(context.Context, string, sandbarrow.StoreRevision, []byte, sandbarrow.LeaseID) (sandbarrow.StoreRevision, error) {
	return 0, errReadOnly
}

// GrantLease returns an error.
func (ReadOnly) GrantLease(context.Context, time.Duration) (sandbarrow.LeaseID, error) {
	return "", errReadOnly
}

// RenewLease returns an error.
func (ReadOnly) RenewLease(context.Context, sandbarrow.LeaseID) (sandbarrow.StoreEra, error) {
	return 0, errReadOnly
}

// RevokeLease returns an error.
func (ReadOnly) RevokeLease(context.Context, sandbarrow.LeaseID) error { return errReadOnly }
