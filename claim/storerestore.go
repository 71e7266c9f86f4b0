package claim

import (
	"context"
	"time"

	"github.com/juju/errors"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/internal/boottime"
	"sandbarrow.example/sandbarrow/internal/pause"
)

// A store that was restored from an older copy has lost the most recent claims. Each process rewrites the
// claims that it made. It makes no new claims until the other processes have had time to rewrite theirs.
const (
	// recentRetention is how long claims are kept for rewriting. It exceeds the age of the copies that the
	// store is restored from.
	recentRetention = 20 * time.Second
	// rewriteWindow is the time within which all processes rewrite their claims, counted from when one process
	// has detected a restore. A process detects it when its watch fails and is retried, after at most 0.75 s.
	rewriteWindow = 2 * time.Second
	// eraPause is the pause between two checks for a restore.
	eraPause = 100 * time.Millisecond
)

// recentClaim is a claim that this process has written.
type recentClaim struct {
	claim     sandbarrow.Claim
	writtenAt time.Time
}

// Run rewrites claims that the store has lost, until ctx ends.
func (s *Store) Run(ctx context.Context) error {
	var rewrittenFor time.Time
	for ctx.Err() == nil {
		since, first := s.store.EraSince()
		if !first && since != rewrittenFor && s.rewriteClaims(ctx) {
			rewrittenFor = since
		}
		pause.For(ctx, eraPause)
	}
	return nil
}

// recordWritten keeps a claim for rewriting, and deletes the claims older than recentRetention.
func (s *Store) recordWritten(id sandbarrow.RequestID, c sandbarrow.Claim) {
	now := boottime.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recent[id] = recentClaim{claim: c, writtenAt: now}
	if now.Sub(s.recentPruned) < recentRetention {
		return
	}
	s.recentPruned = now
	for id, r := range s.recent {
		if now.Sub(r.writtenAt) > recentRetention {
			delete(s.recent, id)
		}
	}
}

// rewriteClaims writes the recent claims that the store has lost. It returns false if the store did not
// reply.
func (s *Store) rewriteClaims(ctx context.Context) bool {
	s.mu.Lock()
	claims := map[sandbarrow.RequestID]sandbarrow.Claim{}
	for id, r := range s.recent {
		claims[id] = r.claim
	}
	s.mu.Unlock()
	for id, c := range claims {
		permit := s.permitStart(c)
		if c.State == sandbarrow.ClaimVoided {
			permit = permitVoid(c, new(sandbarrow.Claim))
		}
		if err := s.write(ctx, id, c, permit); errors.Is(err, ErrStore) {
			return false
		}
	}
	return true
}

// awaitRewrite waits until other processes have had time to rewrite their claims after a restore.
func (s *Store) awaitRewrite(ctx context.Context) {
	if since, first := s.store.EraSince(); !first {
		pause.For(ctx, boottime.Until(since.Add(rewriteWindow)))
	}
}
