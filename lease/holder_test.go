package lease

import (
	"context"
	"io"
	"log/slog"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"sandbarrow.example/sandbarrow/internal/storetest"
	"sandbarrow.example/sandbarrow/store"
)

const ttl = 4 * time.Second

func discardLogger() *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) }

func TestAtMostOneHolderUnderStoreFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		now := time.Unix(1000, 0)
		clock := func() time.Time { return now }
		faulty := &storetest.Store{
			Below: store.NewMemory(store.WithMemoryClock(clock)),
			Next:  func() storetest.Fault { return storetest.Fault(rapid.IntRange(0, 7).Draw(rt, "fault") % 5 % 4) },
		}
		holders := []*Holder{
			NewHolder(faulty, "k", ttl, discardLogger(), WithClock(clock)),
			NewHolder(faulty, "k", ttl, discardLogger(), WithClock(clock)),
		}
		newest := Grant{}
		for range rapid.IntRange(5, 40).Draw(rt, "steps") {
			if rapid.Bool().Draw(rt, "advance clock") {
				now = now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(rt, "ms")) * time.Millisecond)
			} else {
				_ = holders[rapid.IntRange(0, 1).Draw(rt, "holder")].Step(context.Background())
			}
			held := 0
			for _, h := range holders {
				if g := h.Check(); g.State == Held {
					held++
					assert.Assert(rt, g.Token >= newest.Token, "token %d after %d", g.Token, newest.Token)
					newest = g
				}
			}
			assert.Assert(rt, held <= 1, "both holders have the lease")
		}
	})
}

func TestHolderStates(t *testing.T) {
	now := time.Unix(1000, 0)
	clock := func() time.Time { return now }
	next := storetest.None
	s := &storetest.Store{Below: store.NewMemory(store.WithMemoryClock(clock)), Next: func() storetest.Fault { return next }}
	h := NewHolder(s, "k", ttl, discardLogger(), WithClock(clock))
	assert.Equal(t, h.Check().State, Lost)
	assert.NilError(t, h.Step(context.Background()))
	held := h.Check()
	assert.Equal(t, held.State, Held)
	next = storetest.Unavailable
	now = now.Add(ttl)
	assert.Equal(t, h.Check().State, Lost, "expired, before the next call to the store")
	assert.Assert(t, h.Step(context.Background()) != nil)
	assert.Equal(t, h.Check(), Grant{State: Outage, Token: held.Token})
	next = storetest.None
	now = now.Add(ttl)
	assert.NilError(t, h.Step(context.Background()))
	assert.Equal(t, h.Check().State, Held)
	assert.Assert(t, h.Check().Token > held.Token)
}

func TestSameOwnerTakesOverLease(t *testing.T) {
	now := time.Unix(1000, 0)
	clock := func() time.Time { return now }
	s := store.NewMemory(store.WithMemoryClock(clock))
	start := func(owner string) *Holder {
		return NewHolder(s, "k", ttl, discardLogger(), WithClock(clock), WithOwner(owner))
	}
	first := start("box-1")
	assert.NilError(t, first.Step(t.Context()))
	assert.Assert(t, start("box-2").Step(t.Context()) != nil)
	assert.Assert(t, start("box").Step(t.Context()) != nil, "another owner, whose name is a prefix of the first")
	second := start("box-1")
	assert.NilError(t, second.Step(t.Context()))
	assert.Equal(t, second.Check().State, Held)
	assert.Assert(t, second.Check().Token > first.Check().Token)
	assert.Assert(t, start("").Step(t.Context()) != nil)
}
