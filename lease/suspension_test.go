package lease

import (
	"testing"

	"gotest.tools/v3/assert"

	"sandbarrow.example/sandbarrow/internal/boottime"
	"sandbarrow.example/sandbarrow/store"
)

func TestLeaseExpiresDuringSuspension(t *testing.T) {
	s := store.NewMemory(store.WithMemoryClock(boottime.Now))
	first, second := NewHolder(s, "k", ttl, discardLogger()), NewHolder(s, "k", ttl, discardLogger())
	assert.NilError(t, first.Step(t.Context()))
	assert.Equal(t, first.Check().State, Held)
	boottime.Suspend(ttl)
	assert.NilError(t, second.Step(t.Context()), "the lease has expired in the store")
	assert.Equal(t, second.Check().State, Held)
	assert.Check(t, first.Check().State != Held, "both holders have the lease")
}
