package claim

import (
	"testing"

	"gotest.tools/v3/assert"

	"sandbarrow.example/sandbarrow/internal/boottime"
	"sandbarrow.example/sandbarrow/store"
)

func TestClaimLeaseReuseIncludesSuspendedTime(t *testing.T) {
	s := NewStore(store.NewMemory(store.WithMemoryClock(boottime.Now)))
	first, err := s.currentLease(t.Context())
	assert.NilError(t, err)
	boottime.Suspend(leaseReuse)
	second, err := s.currentLease(t.Context())
	assert.NilError(t, err)
	assert.Check(t, first != second)
}
