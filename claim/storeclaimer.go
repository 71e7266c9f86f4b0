// Package claim makes once-only requests run at most once, by records in the
// platform's store: one key a request, written by compare-and-swap right before the
// start and settled by reading back. It owns the keys under its prefix and relies on
// sandbarrow.Store alone; agents start and release claims, entries void them. What was
// weighed stands in docs/design/claims.md.
package claim

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"sync"
	"time"

	"github.com/juju/errors"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/internal/boottime"
)

// The errors of claimers. None of them permits a run.
const (
	// ErrStarted means that an attempt has started already; see RecordOf.
	ErrStarted = errors.ConstError("claim: an attempt has started")
	// ErrStore means that the store gave no answer in time.
	ErrStore = errors.ConstError("claim: store gave no answer")
	// ErrVoided means that this attempt was voided.
	ErrVoided = errors.ConstError("claim: attempt voided")
)

const (
	// abandonLife is how long a claim without a run is remembered by its token; no lost write lands
	// after that.
	abandonLife = 10 * time.Minute
	// claimTries bounds the rounds against racing writers and lost replies.
	claimTries = 6
	keyPrefix  = "claims/"
	// releasedSuffix keeps the token of a release apart from its claim's.
	releasedSuffix = "-released"
	// leaseSpan is how long processes put new claims under one lease.
	leaseSpan = time.Hour
	// Retention is how long a claim is kept at least: a repeat within a day never runs
	// again (docs/OPERATIONS.md).
	Retention = 24 * time.Hour
)

// standingError carries the record that stands.
type standingError struct {
	kind   error
	record sandbarrow.Claim
}

// Error names the kind.
func (e *standingError) Error() string { return e.kind.Error() }

// Is matches the kind.
func (e *standingError) Is(target error) bool { return target == e.kind }

// RecordOf returns the record of an ErrStarted or ErrVoided.
func RecordOf(err error) (sandbarrow.Claim, bool) {
	var e *standingError
	if !errors.As(err, &e) {
		return sandbarrow.Claim{}, false
	}
	return e.record, true
}

// Store keeps one key a claim. It is safe for concurrent use.
type Store struct {
	store sandbarrow.Store

	mu        sync.Mutex
	abandoned map[string]time.Time // by token
	pruned    time.Time
	lease     sandbarrow.LeaseID
	leaseEnds time.Time
	// recent holds the claims written within recentRetention.
	recent       map[sandbarrow.RequestID]recentClaim
	recentPruned time.Time
}

// NewStore returns a claimer over the platform's store.
func NewStore(s sandbarrow.Store) *Store {
	return &Store{abandoned: map[string]time.Time{}, recent: map[sandbarrow.RequestID]recentClaim{}, store: s}
}

// Release voids an attempt whose start was claimed under c.Token but that
// never ran, so that a later attempt may run.
func (s *Store) Release(ctx context.Context, id sandbarrow.RequestID, c sandbarrow.Claim) error {
	s.abandon(c.Token)
	released := c
	released.State = sandbarrow.ClaimVoided
	released.Token = c.Token + releasedSuffix
	err := s.settle(ctx, id, released, func(standing *sandbarrow.Claim) error {
		if standing != nil && standing.Token != c.Token {
			return errStands
		}
		return nil
	})
	if errors.Is(err, errStands) {
		return nil
	}
	return err
}

// Start claims the right to run an attempt now.
func (s *Store) Start(ctx context.Context, id sandbarrow.RequestID, c sandbarrow.Claim) error {
	c.State = sandbarrow.ClaimStarted
	err := s.settle(ctx, id, c, s.permitStart(c))
	if errors.Is(err, ErrStore) {
		// A lost write may still land. It must not stand as a run of ours.
		s.abandon(c.Token)
	}
	return err
}

// Void forbids the attempts up to c.Attempt and returns the record that stands.
func (s *Store) Void(ctx context.Context, id sandbarrow.RequestID, c sandbarrow.Claim) (sandbarrow.Claim, error) {
	c.State = sandbarrow.ClaimVoided
	stands := c
	err := s.settle(ctx, id, c, permitVoid(c, &stands))
	if errors.Is(err, errStands) {
		err = nil
	}
	return stands, err
}

// permitStart returns the check whether an attempt may start, given the record that stands.
func (s *Store) permitStart(c sandbarrow.Claim) func(*sandbarrow.Claim) error {
	return func(standing *sandbarrow.Claim) error {
		switch {
		case standing == nil:
			return nil
		case s.isAbandoned(standing.Token):
			return permitOverAbandoned(standing, c)
		case standing.State == sandbarrow.ClaimStarted:
			return &standingError{kind: ErrStarted, record: *standing}
		case c.Attempt <= standing.Attempt:
			return &standingError{kind: ErrVoided, record: *standing}
		}
		return nil
	}
}

// permitVoid returns the check whether the attempts up to c.Attempt may be voided, given the record that
// stands. If they may not, the check copies that record to stands.
func permitVoid(c sandbarrow.Claim, stands *sandbarrow.Claim) func(*sandbarrow.Claim) error {
	return func(standing *sandbarrow.Claim) error {
		if standing == nil {
			return nil
		}
		if standing.State == sandbarrow.ClaimStarted || standing.Attempt >= c.Attempt {
			*stands = *standing
			return errStands
		}
		return nil
	}
}

// permitOverAbandoned decides over a claim of ours that never ran. It may have
// followed a void, which forbids the attempts before its own for good.
func permitOverAbandoned(standing *sandbarrow.Claim, c sandbarrow.Claim) error {
	if c.Attempt >= standing.Attempt {
		return nil
	}
	record := *standing
	record.State = sandbarrow.ClaimVoided
	return &standingError{kind: ErrVoided, record: record}
}

// errStands ends a settle with the standing record.
const errStands = errors.ConstError("claim: another record stands")

// settle writes c if permit accepts the record that stands, and records it for rewriting after a restore
// of the store.
func (s *Store) settle(ctx context.Context, id sandbarrow.RequestID, c sandbarrow.Claim, permit func(*sandbarrow.Claim) error) error {
	s.awaitRewrite(ctx)
	err := s.write(ctx, id, c, permit)
	if err == nil {
		s.recordWritten(id, c)
	}
	return err
}

// write writes c if permit accepts the record that stands. A lost reply is
// settled by reading back: c.Token is ours alone.
func (s *Store) write(ctx context.Context, id sandbarrow.RequestID, c sandbarrow.Claim, permit func(*sandbarrow.Claim) error) error {
	value, err := json.Marshal(c)
	if err != nil {
		return errors.Trace(err)
	}
	key := keyOf(id)
	var previous sandbarrow.StoreRevision
	for range claimTries {
		if ctx.Err() != nil {
			break
		}
		lease, err := s.leaseNow(ctx)
		if err != nil {
			continue
		}
		_, err = s.store.CompareAndSwap(ctx, key, previous, value, lease)
		if err == nil {
			return nil
		}
		if errors.Is(err, sandbarrow.ErrStoreLeaseLost) {
			s.dropLease(lease)
			continue
		}
		if errors.Is(err, sandbarrow.ErrStoreUnavailable) {
			continue
		}
		standing, revision, readErr := s.read(ctx, key)
		switch {
		case readErr != nil:
			continue
		case standing != nil && standing.Token == c.Token:
			return nil
		}
		if err := permit(standing); err != nil {
			return err
		}
		previous = revision
	}
	return ErrStore
}

func (s *Store) read(ctx context.Context, key string) (*sandbarrow.Claim, sandbarrow.StoreRevision, error) {
	item, err := s.store.Get(ctx, key)
	if errors.Is(err, sandbarrow.ErrStoreNotFound) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	var c sandbarrow.Claim
	if err := json.Unmarshal(item.Value, &c); err != nil {
		return nil, 0, errors.Annotatef(err, "claim %s", key)
	}
	return &c, item.Revision, nil
}

func (s *Store) abandon(token string) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.abandoned[token] = now
	if now.Sub(s.pruned) < abandonLife {
		return
	}
	s.pruned = now
	for t, at := range s.abandoned {
		if now.Sub(at) > abandonLife {
			delete(s.abandoned, t)
		}
	}
}

func (s *Store) isAbandoned(token string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.abandoned[token]
	return ok
}

// leaseNow returns the lease for new claims, one per span.
func (s *Store) leaseNow(ctx context.Context) (sandbarrow.LeaseID, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lease != "" && boottime.Now().Before(s.leaseEnds) {
		return s.lease, nil
	}
	id, err := s.store.GrantLease(ctx, Retention+leaseSpan)
	if err != nil {
		return "", err
	}
	s.lease, s.leaseEnds = id, boottime.Now().Add(leaseSpan)
	return id, nil
}

func (s *Store) dropLease(id sandbarrow.LeaseID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lease == id {
		s.lease = ""
	}
}

func keyOf(id sandbarrow.RequestID) string {
	sum := sha256.Sum256([]byte(id))
	return keyPrefix + hex.EncodeToString(sum[:16])
}
