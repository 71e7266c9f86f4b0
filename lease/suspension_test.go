package lease

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
// A lease that ran out in the store while its holder was suspended is not held any more, by
// the clock alone.
func TestSuspension(t *testing.T) {
	s := store.NewMemory(store.WithMemoryClock(boottime.Now))
	first, second := NewHolder(s, "k", ttl, quiet()), NewHolder(s, "k", ttl, quiet())
	assert.NilError(t, first.Step(t.Context()))
	assert.Equal(t, first.Check().State, Held)
	boottime.Suspend(ttl)
	assert.NilError(t, second.Step(t.Context()), "the store has let the lease go")
	assert.Equal(t, second.Check().State, Held)
	assert.Check(t, first.Check().State != Held, "two holders")
}
