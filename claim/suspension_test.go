package claim

import (
	"testing"

	"gotest.tools/v3/assert"

	"sandbarrow.example/sandbarrow/internal/boottime"
	"sandbarrow.example/sandbarrow/store"
)

// A machine may be suspended for seconds: its steady clock stands still meanwhile, while
// what others hold runs on (a lease in the store, a caller's patience, the other end of a
// link). An age that the steady clock counts is then too young, and guards nothing.
//
// The lease of new claims is replaced after its span, so that a claim is kept for Retention at
// least.
func TestSuspension(t *testing.T) {
	s := NewStore(store.NewMemory(store.WithMemoryClock(boottime.Now)))
	first, err := s.leaseNow(t.Context())
	assert.NilError(t, err)
	boottime.Suspend(leaseSpan)
	second, err := s.leaseNow(t.Context())
	assert.NilError(t, err)
	assert.Check(t, first != second)
}
