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
	token    sandbarrow.FencingToken
	until    time.Time
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
// be reached, else Lost. Ask right before each order is sent.
func (h *Holder) Check() Grant {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now()
	switch {
	case h.token != 0 && now.Before(h.until):
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
	if err := h.store.RenewLease(ctx, id); err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.until = asked.Add(h.ttl - h.ttl/marginShare)
	return nil
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
	h.lease = id
	h.token = sandbarrow.FencingToken(revision)
	h.until = asked.Add(h.ttl - h.ttl/marginShare)
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
	parts := strings.Split(string(item.Value), ownerSeparator)
	id := sandbarrow.LeaseID(parts[len(parts)-1])
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
