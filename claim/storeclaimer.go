// Package claim makes at-most-once requests run at most once. It stores one record per
// request in the platform's store. The record is written by compare-and-swap right before
// the start; after a lost reply it is read back. The package owns the keys under its prefix
// and depends only on sandbarrow.Store. Agents start and release claims, entries void them.
// docs/design/claims.md explains the design.
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

// The errors of a claimer. After any of them, the attempt must not run.
const (
	// ErrStarted means that an attempt has already started; RecordOf returns its record.
	ErrStarted = errors.ConstError("claim: an attempt has started")
	// ErrStore means that the store did not reply in time.
	ErrStore = errors.ConstError("claim: no reply from store")
	// ErrVoided means that this attempt was voided.
	ErrVoided = errors.ConstError("claim: attempt voided")
)

const (
	// abandonedRetention is how long the token of a claim that did not lead to a run is kept. No
	// delayed write takes effect after that time.
	abandonedRetention = 10 * time.Minute
	// maxWriteAttempts limits the retries of a write after conflicts and lost replies.
	maxWriteAttempts = 6
	keyPrefix        = "claims/"
	// releasedSuffix distinguishes the token of a release from that of its claim.
	releasedSuffix = "-released"
	// leaseReuse is how long a process attaches new claims to the same lease.
	leaseReuse = time.Hour
	// Retention is the minimum time that a claim is kept: a request that is retried within a
	// day does not run again (docs/OPERATIONS.md).
	Retention = 24 * time.Hour
)

// recordError is an error with the current record of the request.
type recordError struct {
	kind   error
	record sandbarrow.Claim
}

// Error returns the text of the kind.
func (e *recordError) Error() string { return e.kind.Error() }

// Is matches the kind.
func (e *recordError) Is(target error) bool { return target == e.kind }

// RecordOf returns the record of an ErrStarted or ErrVoided, or false for other errors.
func RecordOf(err error) (sandbarrow.Claim, bool) {
	var e *recordError
	if !errors.As(err, &e) {
		return sandbarrow.Claim{}, false
	}
	return e.record, true
}

// Store stores each claim under a key of its own. It is safe for concurrent use.
type Store struct {
	store sandbarrow.Store

	mu               sync.Mutex
	abandoned        map[string]time.Time // by token
	abandonedPruned  time.Time
	lease            sandbarrow.LeaseID
	leaseReusedUntil time.Time
	// recent holds the claims written within recentRetention.
	recent       map[sandbarrow.RequestID]recentClaim
	recentPruned time.Time
}

// NewStore returns a claimer that uses the platform's store.
func NewStore(s sandbarrow.Store) *Store {
	return &Store{abandoned: map[string]time.Time{}, recent: map[sandbarrow.RequestID]recentClaim{}, store: s}
}

// Release voids an attempt that was claimed under c.Token but never ran. A later
// attempt may then run.
func (s *Store) Release(ctx context.Context, id sandbarrow.RequestID, c sandbarrow.Claim) error {
	s.abandon(c.Token)
	released := c
	released.State = sandbarrow.ClaimVoided
	released.Token = c.Token + releasedSuffix
	err := s.update(ctx, id, released, func(current *sandbarrow.Claim) error {
		if current != nil && current.Token != c.Token {
			return errOtherRecord
		}
		return nil
	})
	if errors.Is(err, errOtherRecord) {
		return nil
	}
	return err
}

// Start claims the right to run an attempt now.
func (s *Store) Start(ctx context.Context, id sandbarrow.RequestID, c sandbarrow.Claim) error {
	c.State = sandbarrow.ClaimStarted
	err := s.update(ctx, id, c, s.permitStart(c))
	if errors.Is(err, ErrStore) {
		// A delayed write may still take effect. It must not count as a run of this process.
		s.abandon(c.Token)
	}
	return err
}

// Void forbids the attempts up to c.Attempt and returns the current record.
func (s *Store) Void(ctx context.Context, id sandbarrow.RequestID, c sandbarrow.Claim) (sandbarrow.Claim, error) {
	c.State = sandbarrow.ClaimVoided
	result := c
	err := s.update(ctx, id, c, permitVoid(c, &result))
	if errors.Is(err, errOtherRecord) {
		err = nil
	}
	return result, err
}

// permitStart returns a check whether an attempt may start, given the current record.
func (s *Store) permitStart(c sandbarrow.Claim) func(*sandbarrow.Claim) error {
	return func(current *sandbarrow.Claim) error {
		switch {
		case current == nil:
			return nil
		case s.isAbandoned(current.Token):
			return permitAfterAbandoned(current, c)
		case current.State == sandbarrow.ClaimStarted:
			return &recordError{kind: ErrStarted, record: *current}
		case c.Attempt <= current.Attempt:
			return &recordError{kind: ErrVoided, record: *current}
		}
		return nil
	}
}

// permitVoid returns a check whether the attempts up to c.Attempt may be voided, given the current record.
// If they may not, the check copies that record to found.
func permitVoid(c sandbarrow.Claim, found *sandbarrow.Claim) func(*sandbarrow.Claim) error {
	return func(current *sandbarrow.Claim) error {
		if current == nil {
			return nil
		}
		if current.State == sandbarrow.ClaimStarted || current.Attempt >= c.Attempt {
			*found = *current
			return errOtherRecord
		}
		return nil
	}
}

// permitAfterAbandoned checks whether an attempt may start although an abandoned claim of this
// process is stored. The abandoned claim may have replaced a void. That void still forbids the
// attempts before the abandoned one.
func permitAfterAbandoned(current *sandbarrow.Claim, c sandbarrow.Claim) error {
	if c.Attempt >= current.Attempt {
		return nil
	}
	record := *current
	record.State = sandbarrow.ClaimVoided
	return &recordError{kind: ErrVoided, record: record}
}

// errOtherRecord ends an update because the current record must not be replaced.
const errOtherRecord = errors.ConstError("claim: another record is stored")

// update writes c if permit accepts the current record, and keeps it for rewriting after a restore of the
// store.
func (s *Store) update(ctx context.Context, id sandbarrow.RequestID, c sandbarrow.Claim, permit func(*sandbarrow.Claim) error) error {
	s.awaitRewrite(ctx)
	err := s.write(ctx, id, c, permit)
	if err == nil {
		s.recordWritten(id, c)
	}
	return err
}

// write writes c if permit accepts the current record. If the reply is lost, it reads the
// record back and compares c.Token, which is unique to the claim.
func (s *Store) write(ctx context.Context, id sandbarrow.RequestID, c sandbarrow.Claim, permit func(*sandbarrow.Claim) error) error {
	value, err := json.Marshal(c)
	if err != nil {
		return errors.Trace(err)
	}
	key := keyOf(id)
	var previous sandbarrow.StoreRevision
	for range maxWriteAttempts {
		if ctx.Err() != nil {
			break
		}
		lease, err := s.currentLease(ctx)
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
		current, revision, readErr := s.read(ctx, key)
		switch {
		case readErr != nil:
			continue
		case current != nil && current.Token == c.Token:
			return nil
		}
		if err := permit(current); err != nil {
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
	if now.Sub(s.abandonedPruned) < abandonedRetention {
		return
	}
	s.abandonedPruned = now
	for t, at := range s.abandoned {
		if now.Sub(at) > abandonedRetention {
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

// currentLease returns the lease for new claims. It requests a new one every leaseReuse.
func (s *Store) currentLease(ctx context.Context) (sandbarrow.LeaseID, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lease != "" && boottime.Now().Before(s.leaseReusedUntil) {
		return s.lease, nil
	}
	id, err := s.store.GrantLease(ctx, Retention+leaseReuse)
	if err != nil {
		return "", err
	}
	s.lease, s.leaseReusedUntil = id, boottime.Now().Add(leaseReuse)
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
