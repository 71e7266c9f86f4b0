// Package lease holds a lease on a key of the platform's store. The key's revision in the
// store is the fencing token. Each Holder owns one lease and depends on
// sandbarrow.LeaseStore and a monotonic clock. Agents use the package.
// docs/design/membership.md explains the design.
package lease

import (
	"context"
	"log/slog"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/internal/boottime"
)

// State is the state of a Holder's lease.
type State string

// The states of a Holder.
const (
	// Held means that no other holder can have the lease now.
	Held State = "held"
	// Lost means that another holder may have the lease, or that this one never had it.
	Lost State = "lost"
	// Outage means that the lease expired while the store was unreachable.
	Outage State = "outage"
)

const (
	// marginDivisor sets the safety margin: a Holder stops using a lease ttl/marginDivisor before it
	// expires. The margin covers the transit time of an order and clock drift.
	marginDivisor = 4
	// renewDivisor sets the time between renewals: ttl/renewDivisor.
	renewDivisor = 3
)

// Grant is the result of Check.
type Grant struct {
	State State
	// Token is the newest fencing token, also in an outage. It is 0 before the first lease.
	Token sandbarrow.FencingToken
}

// Holder acquires and renews one lease. It is safe for concurrent use.
type Holder struct {
	key    string
	logger *slog.Logger
	now    func() time.Time
	// owner is the first part of the key's value; see WithOwner.
	owner string
	store sandbarrow.LeaseStore
	ttl   time.Duration
	value string

	mu       sync.Mutex
	lease    sandbarrow.LeaseID
	failedAt time.Time
	// leasedUntil is the earliest time at which the store may end the last lease, and leasedEra is
	// the era of that lease. clearLease leaves both unchanged.
	leasedEra   sandbarrow.StoreEra
	leasedUntil time.Time
	// notBefore is the time until which a holder of an earlier era may still use its lease.
	notBefore time.Time
	// observed is the newest token passed to ObserveToken.
	observed sandbarrow.FencingToken
	// storedValue is the value that was written to the key with the lease.
	storedValue string
	token       sandbarrow.FencingToken
	heldUntil   time.Time
}

// Option configures a Holder.
type Option func(*Holder)

// WithClock replaces the default clock, boottime.Now. The clock must be monotonic.
func WithClock(now func() time.Time) Option {
	return func(h *Holder) { h.now = now }
}

// WithOwner sets the owner of the holder. An owner must run at most one holder of the key at
// a time, like a box that restarts a process only after the previous one has exited. If the
// key has the same owner, the holder takes over the lease immediately, because the previous
// holder no longer runs.
func WithOwner(owner string) Option {
	return func(h *Holder) { h.owner = owner }
}

// ownerSeparator separates the parts of a value that includes an owner: owner, holder and
// lease.
const ownerSeparator = " "

// IsOwnedBy reports whether a key's value was written by a holder with the given owner.
func IsOwnedBy(value []byte, owner string) bool {
	return owner != "" && strings.HasPrefix(string(value), owner+ownerSeparator)
}

// NewHolder returns a holder. It has no lease until Run or Step acquires one.
func NewHolder(s sandbarrow.LeaseStore, key string, ttl time.Duration, logger *slog.Logger, options ...Option) *Holder {
	h := &Holder{key: key, logger: logger, now: boottime.Now, store: s, ttl: ttl, value: uuid.NewString()}
	for _, o := range options {
		o(h)
	}
	return h
}

// Check decides from the lease alone whether an order may be sent now. Call it right before
// each order. The state is Held until a quarter of the ttl before the lease expires. It is
// Outage if the lease expired while the store was unreachable, and Lost otherwise. A lease that
// was acquired after a restore of the store becomes Held only when every lease that the store
// may have lost in the restore has expired.
func (h *Holder) Check() Grant {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now()
	switch {
	case h.token != 0 && now.Before(h.heldUntil) && !now.Before(h.notBefore):
		return Grant{State: Held, Token: h.token}
	case h.failedAt.After(h.heldUntil):
		return Grant{State: Outage, Token: h.token}
	default:
		return Grant{State: Lost, Token: h.token}
	}
}

// Leased reports whether the store may still have the holder's lease: the store has not
// reported its end, and Release was not called.
func (h *Holder) Leased() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lease != ""
}

// Run acquires and renews the lease until ctx ends, and then releases it.
func (h *Holder) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := h.Step(ctx); err != nil && ctx.Err() == nil {
			h.logger.Warn("lease not renewed", "key", h.key, "error", err.Error())
		}
		select {
		case <-time.After(h.ttl / renewDivisor):
		case <-ctx.Done():
		}
	}
	h.Release()
	return nil
}

// Step renews the lease, or acquires one if the holder has none.
func (h *Holder) Step(ctx context.Context) error {
	h.mu.Lock()
	id := h.lease
	h.mu.Unlock()
	err := h.renew(ctx, id)
	if errors.Is(err, sandbarrow.ErrStoreLeaseLost) {
		h.clearLease()
		err = h.acquire(ctx)
	}
	if errors.Is(err, sandbarrow.ErrStoreUnavailable) || errors.Is(err, sandbarrow.ErrStoreUnknown) {
		h.mu.Lock()
		h.failedAt = h.now()
		h.mu.Unlock()
	}
	return err
}

func (h *Holder) renew(ctx context.Context, id sandbarrow.LeaseID) error {
	if id == "" {
		return sandbarrow.ErrStoreLeaseLost
	}
	sentAt := h.now()
	era, err := h.store.RenewLease(ctx, id)
	if err != nil {
		return err
	}
	if era != id.Era() {
		if id, err = h.readLease(ctx); err != nil {
			return err
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.lease == "" {
		return nil // released during the call
	}
	if id != h.lease {
		h.delayForEarlierHolders(era)
	}
	h.setLease(id, sentAt)
	return nil
}

// setLease records a lease that the store granted or renewed by a call sent at sentAt. The caller holds mu.
func (h *Holder) setLease(id sandbarrow.LeaseID, sentAt time.Time) {
	h.lease, h.leasedEra, h.leasedUntil = id, id.Era(), sentAt.Add(h.ttl)
	h.heldUntil = h.leasedUntil.Add(-h.ttl / marginDivisor)
}

// readLease returns the key's lease after a restore of the store, if the key still has this holder's value.
// The restored copy may be older than the lease, and another lease may have the same name.
func (h *Holder) readLease(ctx context.Context) (sandbarrow.LeaseID, error) {
	item, err := h.store.Get(ctx, h.key)
	if errors.Is(err, sandbarrow.ErrStoreNotFound) {
		return "", errors.Annotate(sandbarrow.ErrStoreLeaseLost, "key lost by the store")
	}
	if err != nil {
		return "", err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if string(item.Value) != h.storedValue {
		return "", errors.Annotate(sandbarrow.ErrStoreLeaseLost, "key has another holder")
	}
	if item.Lease != "" {
		return item.Lease, nil
	}
	return sandbarrow.NewLeaseID(item.Revision.Era(), h.lease.Name()), nil
}

// ObserveToken records a token of any holder of the key. If the token is of an earlier era, the store may
// have lost its lease. That holder may then use the lease until it has expired.
func (h *Holder) ObserveToken(token sandbarrow.FencingToken) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.observed = max(h.observed, token)
}

// delayForEarlierHolders delays the use of the lease until the leases of earlier eras have expired. The
// store has renewed none of them since the current era began. There is no delay if no earlier era is known,
// or if this holder itself had the lease when the era began. The caller holds mu.
func (h *Holder) delayForEarlierHolders(era sandbarrow.StoreEra) {
	since, first := h.store.EraSince()
	earlierKnown := h.observed != 0 && sandbarrow.StoreRevision(h.observed).Era() < era
	hadLease := h.leasedEra+1 == era && h.leasedUntil.After(since)
	if first && !earlierKnown || hadLease {
		return
	}
	h.notBefore = since.Add(h.ttl)
}

// clearLease clears a lease that the store has ended. The token stays, because no newer
// one is known until another holder uses its lease.
func (h *Holder) clearLease() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lease = ""
	h.heldUntil = time.Time{}
	h.failedAt = time.Time{}
}

func (h *Holder) acquire(ctx context.Context) error {
	sentAt := h.now()
	id, err := h.store.GrantLease(ctx, h.ttl)
	if err != nil {
		return err
	}
	value := h.valueWith(id)
	revision, err := h.store.CompareAndSwap(ctx, h.key, 0, []byte(value), id)
	if errors.Is(err, sandbarrow.ErrStoreConflict) && h.revokePredecessor(ctx) {
		revision, err = h.store.CompareAndSwap(ctx, h.key, 0, []byte(value), id)
	}
	if err != nil {
		item, readErr := h.store.Get(ctx, h.key)
		if readErr != nil || string(item.Value) != value {
			// Revoke the lease, because a delayed write may still take effect under it.
			_ = h.store.RevokeLease(ctx, id)
			return err
		}
		revision = item.Revision
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.delayForEarlierHolders(revision.Era())
	h.setLease(id, sentAt)
	h.storedValue = value
	h.token = sandbarrow.FencingToken(revision)
	h.logger.Info("lease acquired", "key", h.key, "token", uint64(h.token))
	return nil
}

// valueWith returns the value to write to the key with the lease.
func (h *Holder) valueWith(id sandbarrow.LeaseID) string {
	if h.owner == "" {
		return h.value + string(id)
	}
	return strings.Join([]string{h.owner, h.value, string(id)}, ownerSeparator)
}

// revokePredecessor revokes the lease of a holder with the same owner. It reports whether that
// lease is revoked.
func (h *Holder) revokePredecessor(ctx context.Context) bool {
	item, err := h.store.Get(ctx, h.key)
	if err != nil || !IsOwnedBy(item.Value, h.owner) {
		return false
	}
	id := item.Lease
	if id == "" {
		parts := strings.Split(string(item.Value), ownerSeparator)
		id = sandbarrow.LeaseID(parts[len(parts)-1])
	}
	h.logger.Info("lease of a predecessor ended", "key", h.key, "owner", h.owner)
	err = h.store.RevokeLease(ctx, id)
	return err == nil || errors.Is(err, sandbarrow.ErrStoreLeaseLost)
}

// Release revokes the lease, if there is one. Another holder can then acquire it immediately.
func (h *Holder) Release() {
	h.mu.Lock()
	id := h.lease
	h.lease, h.heldUntil, h.failedAt = "", time.Time{}, time.Time{}
	h.mu.Unlock()
	if id == "" {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if err := h.store.RevokeLease(ctx, id); err != nil {
		h.logger.Warn("lease not released", "key", h.key, "error", err.Error())
	}
}
