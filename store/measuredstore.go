package store

import (
	"context"
	"time"

	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus"

	"sandbarrow.example/sandbarrow"
)

// Measured decorates a store with a counter of calls by operation and result.
type Measured struct {
	inner sandbarrow.Store
	calls *prometheus.CounterVec
}

// NewMeasured returns a decorator that registers sandbarrow_store_calls_total.
func NewMeasured(inner sandbarrow.Store, r prometheus.Registerer) *Measured {
	calls := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "sandbarrow_store_calls_total",
		Help: "Calls to the platform's key-value service.",
	}, []string{"operation", "result"})
	r.MustRegister(calls)
	return &Measured{inner: inner, calls: calls}
}

// CompareAndSwap counts the call and passes it on.
func (m *Measured) CompareAndSwap(ctx context.Context, key string, previous sandbarrow.StoreRevision, value []byte, lease sandbarrow.LeaseID) (sandbarrow.StoreRevision, error) {
	revision, err := m.inner.CompareAndSwap(ctx, key, previous, value, lease)
	m.count("swap", err)
	return revision, err
}

// EraSince passes the call on.
func (m *Measured) EraSince() (time.Time, bool) { return m.inner.EraSince() }

// Get counts the call and passes it on.
func (m *Measured) Get(ctx context.Context, key string) (sandbarrow.Item, error) {
	item, err := m.inner.Get(ctx, key)
	m.count("get", err)
	return item, err
}

// GrantLease counts the call and passes it on.
func (m *Measured) GrantLease(ctx context.Context, ttl time.Duration) (sandbarrow.LeaseID, error) {
	id, err := m.inner.GrantLease(ctx, ttl)
	m.count("grant", err)
	return id, err
}

// RenewLease counts the call and passes it on.
func (m *Measured) RenewLease(ctx context.Context, lease sandbarrow.LeaseID) (sandbarrow.StoreEra, error) {
	era, err := m.inner.RenewLease(ctx, lease)
	m.count("renew", err)
	return era, err
}

// RevokeLease counts the call and passes it on.
func (m *Measured) RevokeLease(ctx context.Context, lease sandbarrow.LeaseID) error {
	err := m.inner.RevokeLease(ctx, lease)
	m.count("revoke", err)
	return err
}

// Watch counts the call and passes it on.
func (m *Measured) Watch(ctx context.Context, key string, after sandbarrow.StoreRevision) (sandbarrow.Item, error) {
	item, err := m.inner.Watch(ctx, key, after)
	m.count("watch", err)
	return item, err
}

func (m *Measured) count(operation string, err error) {
	m.calls.WithLabelValues(operation, result(err)).Inc()
}

func result(err error) string {
	switch {
	case err == nil:
		return "ok"
	case errors.Is(err, sandbarrow.ErrStoreConflict):
		return "conflict"
	case errors.Is(err, sandbarrow.ErrStoreLeaseLost):
		return "lease-lost"
	case errors.Is(err, sandbarrow.ErrStoreNotFound):
		return "not-found"
	case errors.Is(err, sandbarrow.ErrStoreUnavailable):
		return "unavailable"
	default:
		return "unknown"
	}
}
