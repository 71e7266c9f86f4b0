// Package lease holds a lease on a key of the platform's store; the store's revision of
// the key is the fencing token. It owns one lease a Holder and relies on
// sandbarrow.Store and a monotonic clock; agents use it. docs/design/membership.md has
// what was weighed.
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

// State says what a Holder knows of its lease.
type State string

// The states of a Holder.
const (
	// Held means that nobody else can hold the lease now.
	Held State = "held"
	// Lost means that another may hold the lease, or that none was held yet.
	Lost State = "lost"
	// Outage means that the lease lapsed while the store can't be reached.
	Outage State = "outage"
)

const (
	// marginShare is the share of the ttl that a lease ends early here, for the time that an order
	// is on its way and for clocks that drift.
	marginShare = 4
	// renewShare is the share of the ttl between renewals.
	renewShare = 3
)

// Grant is the answer of a Holder at one moment.
type Grant struct {
	State State
	// Token is the newest fencing token; 0 before the first, also in an outage.
	Token sandbarrow.FencingToken
}

// Holder acquires and keeps one lease. It is safe for concurrent use.
type Holder struct {
	key    string
	logger *slog.Logger
	now    func() time.Time
	// owner begins the value of the key; see WithOwner.
	owner string
	store sandbarrow.LeaseStore
	ttl   time.Duration
	value string

	mu       sync.Mutex
	lease    sandbarrow.LeaseID
	failedAt time.Time
	// leasedUntil is the earliest time at which the store may end the last lease, leasedEra is
	// the era of that lease. forget keeps both.
	leasedEra   sandbarrow.StoreEra
	leasedUntil time.Time
	// notBefore is the time until which a holder of an earlier era may still act.
	notBefore time.Time
	// observed is the newest token passed to ObserveToken.
	observed sandbarrow.FencingToken
	// storedValue is the key's value written under the lease.
	storedValue string
	token       sandbarrow.FencingToken
	until       time.Time
}

// Option changes a Holder.
type Option func(*Holder)

// WithClock replaces boottime.Now, whose readings must be monotonic.
func WithClock(now func() time.Time) Option {
	return func(h *Holder) { h.now = now }
}

// WithOwner names whoever runs at most one holder of the key at a time, as a box that
// starts a process again only after the last one has ended. A holder that finds the key
// with its own owner takes the lease over at once: its predecessor can't act any more.
func WithOwner(owner string) Option {
	return func(h *Holder) { h.owner = owner }
}

// ownerSeparator stands between the parts of a value that names its owner: owner, holder,
// lease.
const ownerSeparator = " "

// IsOwnedBy reports whether a key's value was written by a holder with an owner.
func IsOwnedBy(value []byte, owner string) bool {
	return owner != "" && strings.HasPrefix(string(value), owner+ownerSeparator)
}

// NewHolder returns a holder that has no lease until Run.
func NewHolder(s sandbarrow.LeaseStore, key string, ttl time.Duration, logger *slog.Logger, options ...Option) *Holder {
	h := &Holder{key: key, logger: logger, now: boottime.Now, store: s, ttl: ttl, value: uuid.NewString()}
	for _, o := range options {
		o(h)
	}
	return h
}

// Check decides whether an order may be sent now, by the lease alone: Held until a
// quarter of its life before its end, Outage when it lapsed while the store could not
// be reached, else Lost. A lease that was acquired after a restore of the store is Held only
// once any lease that the store has lost must have lapsed. Ask right before each order is
// sent.
func (h *Holder) Check() Grant {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now()
	switch {
	case h.token != 0 && now.Before(h.until) && !now.Before(h.notBefore):
		return Grant{State: Held, Token: h.token}
	case h.failedAt.After(h.until):
		return Grant{State: Outage, Token: h.token}
	default:
		return Grant{State: Lost, Token: h.token}
	}
}

// Leased reports whether there is a lease that the store may still keep: it has not said
// that it ended, and Release was not called.
func (h *Holder) Leased() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lease != ""
}

// Run acquires and renews the lease until ctx ends, then gives it back.
func (h *Holder) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := h.Step(ctx); err != nil && ctx.Err() == nil {
			h.logger.Warn("lease not renewed", "key", h.key, "error", err.Error())
		}
		select {
		case <-time.After(h.ttl / renewShare):
		case <-ctx.Done():
		}
	}
	h.Release()
	return nil
}

// Step renews the lease, or acquires it where there is none.
func (h *Holder) Step(ctx context.Context) error {
	h.mu.Lock()
	id := h.lease
	h.mu.Unlock()
	err := h.renew(ctx, id)
	if errors.Is(err, sandbarrow.ErrStoreLeaseLost) {
		h.forget()
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
	asked := h.now()
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
		h.awaitEarlierHolders(era)
	}
	h.setLease(id, asked)
	return nil
}

// setLease records a lease that the store granted or renewed on a call begun at asked. The caller holds mu.
func (h *Holder) setLease(id sandbarrow.LeaseID, asked time.Time) {
	h.lease, h.leasedEra, h.leasedUntil = id, id.Era(), asked.Add(h.ttl)
	h.until = h.leasedUntil.Add(-h.ttl / marginShare)
}

// readLease returns the key's lease after a restore of the store, if the key still has this holder's value.
// The restored copy may be older than the lease, and another lease may have got its name.
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

// ObserveToken records a token that some holder is known to have had. If the token is of an earlier era, its
// lease may have been lost by the store, so that its holder may act until the lease must have lapsed.
func (h *Holder) ObserveToken(token sandbarrow.FencingToken) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.observed = max(h.observed, token)
}

// awaitEarlierHolders delays the use of the lease until the leases of earlier eras must have lapsed, as the
// store has renewed none of them since its era began. There is no delay if no earlier era is known, or if
// this holder itself had the lease when the era began. The caller holds mu.
func (h *Holder) awaitEarlierHolders(era sandbarrow.StoreEra) {
	since, first := h.store.EraSince()
	known := h.observed != 0 && sandbarrow.StoreRevision(h.observed).Era() < era
	ownBefore := h.leasedEra+1 == era && h.leasedUntil.After(since)
	if first && !known || ownBefore {
		return
	}
	h.notBefore = since.Add(h.ttl)
}

// forget drops a lease that the store has ended. The token is kept: until
// another holder acts, no newer one is known.
func (h *Holder) forget() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lease = ""
	h.until = time.Time{}
	h.failedAt = time.Time{}
}

func (h *Holder) acquire(ctx context.Context) error {
	asked := h.now()
	id, err := h.store.GrantLease(ctx, h.ttl)
	if err != nil {
		return err
	}
	value := h.valueWith(id)
	revision, err := h.store.CompareAndSwap(ctx, h.key, 0, []byte(value), id)
	if errors.Is(err, sandbarrow.ErrStoreConflict) && h.endPredecessor(ctx) {
		revision, err = h.store.CompareAndSwap(ctx, h.key, 0, []byte(value), id)
	}
	if err != nil {
		item, readErr := h.store.Get(ctx, h.key)
		if readErr != nil || string(item.Value) != value {
			// The grant must not outlive this try: a lost swap may still land under it.
			_ = h.store.RevokeLease(ctx, id)
			return err
		}
		revision = item.Revision
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.awaitEarlierHolders(revision.Era())
	h.setLease(id, asked)
	h.storedValue = value
	h.token = sandbarrow.FencingToken(revision)
	h.logger.Info("lease acquired", "key", h.key, "token", uint64(h.token))
	return nil
}

// valueWith is the key's value under a lease.
func (h *Holder) valueWith(id sandbarrow.LeaseID) string {
	if h.owner == "" {
		return h.value + string(id)
	}
	return strings.Join([]string{h.owner, h.value, string(id)}, ownerSeparator)
}

// endPredecessor ends the lease of a holder with the same owner, and reports whether it
// did.
func (h *Holder) endPredecessor(ctx context.Context) bool {
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

// Release gives the lease back, which lets the next holder in at once.
func (h *Holder) Release() {
	h.mu.Lock()
	id := h.lease
	h.lease, h.until, h.failedAt = "", time.Time{}, time.Time{}
	h.mu.Unlock()
	if id == "" {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if err := h.store.RevokeLease(ctx, id); err != nil {
		h.logger.Warn("lease not given back", "key", h.key, "error", err.Error())
	}
}
