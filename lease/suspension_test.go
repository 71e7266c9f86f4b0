package lease

import (
	"testing"

	"gotest.tools/v3/assert"

	"sandbarrow.example/sandbarrow/internal/boottime"
	"sandbarrow.example/sandbarrow/store"
)

func TestLeaseEndsAcrossASuspension(t *testing.T) {
	s := store.NewMemory(store.WithMemoryClock(boottime.Now))
	first, second := NewHolder(s, "k", ttl, quiet()), NewHolder(s, "k", ttl, quiet())
	assert.NilError(t, first.Step(t.Context()))
	assert.Equal(t, first.Check().State, Held)
	boottime.Suspend(ttl)
	assert.NilError(t, second.Step(t.Context()), "the store has let the lease go")
	assert.Equal(t, second.Check().State, Held)
	assert.Check(t, first.Check().State != Held, "two holders")
}
