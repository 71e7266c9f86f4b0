package claim

import (
	"context"
	"testing"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/internal/await"
	"sandbarrow.example/sandbarrow/internal/boottime"
	"sandbarrow.example/sandbarrow/store"
)

func TestClaimSurvivesStoreRestore(t *testing.T) {
	kv := store.NewMemory(store.WithMemoryClock(boottime.Now))
	empty := kv.Copy()
	first, second := NewStore(kv), NewStore(kv)
	go func() { _ = first.Run(t.Context()) }() // ends with the test
	assert.NilError(t, first.Start(t.Context(), id, sandbarrow.Claim{Attempt: 1, Token: "first"}))
	_, err := first.Void(t.Context(), "other", sandbarrow.Claim{Attempt: 3, Token: "void"})
	assert.NilError(t, err)
	kv.Restore(empty)
	err = second.Start(t.Context(), id, sandbarrow.Claim{Attempt: 2, Token: "second"})
	assert.Assert(t, errors.Is(err, ErrStarted), "second run: got %v", err)
	err = second.Start(t.Context(), "other", sandbarrow.Claim{Attempt: 3, Token: "second"})
	assert.Assert(t, errors.Is(err, ErrVoided), "voided run: got %v", err)
}

func TestNewClaimWaitsForRewriteOfLostClaims(t *testing.T) {
	kv := store.NewMemory(store.WithMemoryClock(boottime.Now))
	empty := kv.Copy()
	late, second := NewStore(kv), NewStore(kv)
	assert.NilError(t, late.Start(t.Context(), id, sandbarrow.Claim{Attempt: 1, Token: "first"}))
	kv.Restore(empty)
	go func() {
		time.Sleep(rewriteWindow / 2) // detects the restore late
		_ = late.Run(t.Context())     // ends with the test
	}()
	ctx, cancel := context.WithTimeout(t.Context(), rewriteWindow/4)
	defer cancel()
	err := second.Start(ctx, id, sandbarrow.Claim{Attempt: 2, Token: "early"})
	assert.Assert(t, errors.Is(err, ErrStore), "run before the rewrite: got %v", err)
	err = second.Start(t.Context(), id, sandbarrow.Claim{Attempt: 2, Token: "second"})
	assert.Assert(t, errors.Is(err, ErrStarted), "second run: got %v", err)
}

func TestOldClaimsArePruned(t *testing.T) {
	s := NewStore(store.NewMemory(store.WithMemoryClock(boottime.Now)))
	s.recordWritten("old", sandbarrow.Claim{})
	boottime.Suspend(2 * recentRetention)
	s.recordWritten("new", sandbarrow.Claim{})
	await.Until(t, time.Second, "the old claim to be pruned", func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		_, old := s.recent["old"]
		return !old && len(s.recent) == 1
	})
}
