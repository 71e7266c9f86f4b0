package lease

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/internal/storetest"
	"sandbarrow.example/sandbarrow/store"
)

func TestAtMostOneHolderAcrossStoreRestores(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		now := time.Unix(1000, 0)
		clock := func() time.Time { return now }
		memory := store.NewMemory(store.WithMemoryClock(clock))
		faulty := &storetest.Store{
			Inner: memory,
			Next:  func() storetest.Fault { return storetest.Fault(rapid.IntRange(0, 7).Draw(rt, "fault") % 5 % 4) },
		}
		holders := make([]*Holder, 3)
		for i := range holders {
			holders[i] = NewHolder(faulty, "k", ttl, discardLogger(), WithClock(clock))
		}
		copied := memory.Copy()
		var newest sandbarrow.FencingToken
		for range rapid.IntRange(5, 60).Draw(rt, "steps") {
			switch rapid.IntRange(0, 9).Draw(rt, "action") {
			case 0:
				copied = memory.Copy()
			case 1:
				memory.Restore(copied)
			case 2, 3, 4:
				now = now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(rt, "ms")) * time.Millisecond)
			default:
				_ = holders[rapid.IntRange(0, 2).Draw(rt, "holder")].Step(context.Background())
			}
			held := 0
			for _, h := range holders {
				if g := h.Check(); g.State == Held {
					held++
					newest = max(newest, g.Token)
				}
			}
			assert.Assert(rt, held <= 1, "%d holders have the lease, newest token %d", held, newest)
		}
	})
}

// firstEraStore is a store whose current era is the first one that the process has seen.
type firstEraStore struct {
	*store.Memory
	since time.Time
}

func (s *firstEraStore) EraSince() (time.Time, bool) { return s.since, true }

func TestLeaseLostByStoreDelaysNextHolder(t *testing.T) {
	now := time.Unix(1000, 0)
	clock := func() time.Time { return now }
	memory := store.NewMemory(store.WithMemoryClock(clock))
	empty := memory.Copy()
	first := NewHolder(memory, "k", ttl, discardLogger(), WithClock(clock))
	assert.NilError(t, first.Step(t.Context()))
	held := first.Check()
	memory.Restore(empty)
	for name, observed := range map[string]sandbarrow.FencingToken{"earlier token observed": held.Token, "no token observed": 0} {
		t.Run(name, func(t *testing.T) {
			copied := memory.Copy()
			now := now
			second := NewHolder(&firstEraStore{Memory: memory, since: now}, "k", ttl, discardLogger(), WithClock(func() time.Time { return now }))
			second.ObserveToken(observed)
			assert.NilError(t, second.Step(t.Context()))
			assert.Equal(t, second.Check().State == Held, observed == 0)
			now = now.Add(ttl / 2)
			assert.NilError(t, second.Step(t.Context()))
			assert.Equal(t, second.Check().State == Held, observed == 0)
			now = now.Add(ttl / 2)
			assert.NilError(t, second.Step(t.Context()))
			assert.Equal(t, second.Check().State, Held)
			assert.Assert(t, second.Check().Token > held.Token)
			memory.Restore(copied)
		})
	}
}

func TestLeaseInRestoredCopyIsKept(t *testing.T) {
	now := time.Unix(1000, 0)
	clock := func() time.Time { return now }
	memory := store.NewMemory(store.WithMemoryClock(clock))
	h := NewHolder(memory, "k", ttl, discardLogger(), WithClock(clock))
	assert.NilError(t, h.Step(t.Context()))
	held := h.Check()
	memory.Restore(memory.Copy())
	assert.NilError(t, h.Step(t.Context()))
	assert.Equal(t, h.Check(), held, "token changed although the copy contains the lease")
	h.Release()
	other := NewHolder(memory, "k", ttl, discardLogger(), WithClock(clock))
	assert.NilError(t, other.Step(t.Context()), "not released in the new era")
}

func TestReusedLeaseNameIsDetected(t *testing.T) {
	now := time.Unix(1000, 0)
	clock := func() time.Time { return now }
	memory := store.NewMemory(store.WithMemoryClock(clock))
	empty := memory.Copy()
	h := NewHolder(memory, "k", ttl, discardLogger(), WithClock(clock))
	assert.NilError(t, h.Step(t.Context()))
	memory.Restore(empty)
	other := NewHolder(memory, "other", ttl, discardLogger(), WithClock(clock)) // gets the same lease name
	assert.NilError(t, other.Step(t.Context()))
	rival := NewHolder(memory, "k", ttl, discardLogger(), WithClock(clock))
	assert.NilError(t, rival.Step(t.Context()))
	assert.Assert(t, h.Step(t.Context()) != nil)
	assert.Equal(t, h.Check().State, Lost)
	h.Release()
	now = now.Add(ttl / 2)
	assert.NilError(t, other.Step(t.Context()), "revoked by a holder whose own lease had the same name")
}
