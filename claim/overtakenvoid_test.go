package claim

import (
	"context"
	"testing"

	"github.com/anishathalye/porcupine"
	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/internal/storetest"
	"sandbarrow.example/sandbarrow/store"
)

// The outputs of calls.
var (
	overtaken = claimOutput{known: true, unanswered: true}
	refused   = claimOutput{known: true}
	unknown   = claimOutput{}
	won       = claimOutput{known: true, won: true}
)

// interruptedStore runs a function once, between a write that gave no reply and the
// next call.
type interruptedStore struct {
	sandbarrow.Store
	between func()
}

// CompareAndSwap passes on.
func (s *interruptedStore) CompareAndSwap(ctx context.Context, key string, previous sandbarrow.StoreRevision, value []byte, lease sandbarrow.LeaseID) (sandbarrow.StoreRevision, error) {
	revision, err := s.Store.CompareAndSwap(ctx, key, previous, value, lease)
	between := s.between
	if err != nil && between != nil {
		s.between = nil
		between()
	}
	return revision, err
}

// loseCalls loses the reply of each call from the first to the last, counted from 1.
func loseCalls(first, last int) func() storetest.Fault {
	calls := 0
	return func() storetest.Fault {
		calls++
		if calls >= first && calls <= last {
			return storetest.Lost
		}
		return storetest.None
	}
}

// overtakenVoid voids attempt 1, loses the reply of the write, runs between before the
// void reads back, checks that it learns of attempt 4, which between has to start under
// the token "fourth", and returns the voider and its call.
func overtakenVoid(t *testing.T, kv sandbarrow.Store, between func()) (*Store, porcupine.Operation) {
	// The first call is for the lease, the second is the write.
	w := &watchedWrites{Store: kv}
	interrupted := &interruptedStore{Store: w.behind(loseCalls(2, 2)), between: between}
	s := NewStore(interrupted)
	call, stands := recorded(s, w, claimInput{attempt: 1}, "void", 0)
	assert.Assert(t, interrupted.between == nil, "nothing ran between")
	assert.Equal(t, call.Output, any(overtaken))
	want := sandbarrow.Claim{Attempt: 4, State: sandbarrow.ClaimStarted, Token: "fourth"}
	assert.Equal(t, stands, want)
	return s, call
}

func startOf(s *Store, attempt sandbarrow.Attempt, token string) error {
	return s.Start(context.Background(), id, sandbarrow.Claim{Attempt: attempt, Token: token})
}

// assertRefused checks that an attempt can't start, at any of the claimers.
func assertRefused(t *testing.T, attempt sandbarrow.Attempt, want error, claimers ...*Store) {
	t.Helper()
	for _, s := range claimers {
		err := startOf(s, attempt, "refused")
		assert.Assert(t, errors.Is(err, want), "attempt %d: %v", attempt, err)
	}
}

func TestOvertakenVoid(t *testing.T) {
	kv := store.NewMemory()
	other := NewStore(kv)
	voider, _ := overtakenVoid(t, kv, func() {
		assertRefused(t, 1, ErrVoided, other)
		assert.NilError(t, startOf(other, 4, "fourth"))
	})
	for attempt := range sandbarrow.Attempt(6) {
		assertRefused(t, attempt, ErrStarted, voider, other, NewStore(kv))
	}
}

func TestOvertakenVoidOutlivesARelease(t *testing.T) {
	kv := store.NewMemory()
	other := NewStore(kv)
	voider, _ := overtakenVoid(t, kv, func() {
		assert.NilError(t, startOf(other, 4, "fourth"))
	})
	assert.NilError(t, other.Release(context.Background(), id, sandbarrow.Claim{Attempt: 4, Token: "fourth"}))
	claimers := []*Store{voider, other, NewStore(kv)}
	assertRefused(t, 1, ErrVoided, claimers...)
	assertRefused(t, 4, ErrVoided, claimers...)
	assert.NilError(t, startOf(voider, 5, "fifth"))
	assertRefused(t, 1, ErrStarted, claimers...)
	assertRefused(t, 6, ErrStarted, claimers...)
}

func TestOvertakenVoidOutlivesAnAbandonedClaim(t *testing.T) {
	kv := store.NewMemory()
	// The lease, a write in vain and a read are answered; the write that lands and all
	// calls after it are not.
	other := NewStore(&storetest.Store{Below: kv, Next: loseCalls(4, 1+2*claimTries)})
	voider, _ := overtakenVoid(t, kv, func() {
		err := startOf(other, 4, "fourth")
		assert.Assert(t, errors.Is(err, ErrStore), "%v", err)
	})
	assertRefused(t, 1, ErrStarted, voider, NewStore(kv))
	assertRefused(t, 1, ErrVoided, other)
	assertRefused(t, 3, ErrVoided, other)
	assert.NilError(t, startOf(other, 5, "fifth"))
	assertRefused(t, 1, ErrStarted, voider, other, NewStore(kv))
	assertRefused(t, 6, ErrStarted, voider, other, NewStore(kv))
}

func TestOvertakenVoidHasTwoPoints(t *testing.T) {
	kv := store.NewMemory()
	w := &watchedWrites{Store: kv}
	other := NewStore(w)
	var history []porcupine.Operation
	_, void := overtakenVoid(t, kv, func() {
		first, _ := recorded(other, w, claimInput{attempt: 1, start: true}, "first", 1)
		fourth, _ := recorded(other, w, claimInput{attempt: 4, start: true}, "fourth", 1)
		history = append(history, first, fourth)
	})
	history = append(history, void)
	assert.Equal(t, history[0].Output, any(refused))
	assert.Equal(t, history[1].Output, any(won))
	assert.Assert(t, !porcupine.CheckOperations(claimModel, history), "%v", history)
	assert.Assert(t, porcupine.CheckOperations(claimModel, pointsOf(history)), "%v", history)
}

// forged returns a call of a history that is written by hand.
func forged(client int, in claimInput, out claimOutput, call, end int64) porcupine.Operation {
	return porcupine.Operation{Call: call, ClientId: client, Input: in, Output: out, Return: end}
}

// overtakenHistory returns a recorded history of four clients, in nanoseconds from its
// begin, in which client 0's void was overtaken, with the output of that void.
func overtakenHistory(first claimOutput) []porcupine.Operation {
	return []porcupine.Operation{
		forged(1, startIn(1), refused, 7951, 61138),
		forged(1, startIn(4), won, 65583, 110078),
		forged(1, voidIn(2), refused, 113754, 144343),
		forged(0, voidIn(1), first, 0, 165741),
		forged(0, voidIn(4), refused, 169460, 201523),
		forged(0, startIn(4), refused, 206314, 237001),
		forged(3, startIn(4), refused, 19299, 269320),
		forged(2, voidIn(1), refused, 14476, 284960),
		forged(3, startIn(1), refused, 274151, 313168),
		forged(2, startIn(2), refused, 290613, 331042),
		forged(3, voidIn(2), refused, 319965, 352647),
		forged(2, voidIn(1), refused, 335026, 367688),
	}
}

func startIn(attempt sandbarrow.Attempt) claimInput { return claimInput{attempt: attempt, start: true} }

func voidIn(attempt sandbarrow.Attempt) claimInput { return claimInput{attempt: attempt} }

func TestForgedHistories(t *testing.T) {
	for name, tc := range map[string]struct {
		history       []porcupine.Operation
		whole, points bool
	}{
		"recorded, with the lost reply": {overtakenHistory(overtaken), false, true},
		"recorded, no reply lost":       {overtakenHistory(refused), false, false},
		"a void, a refused start, a start": {[]porcupine.Operation{
			forged(0, voidIn(1), won, 0, 1),
			forged(1, startIn(1), refused, 2, 3),
			forged(1, startIn(2), won, 4, 5),
			forged(0, voidIn(1), refused, 6, 7),
		}, true, true},
		"an unknown void, a refused start, a start": {[]porcupine.Operation{
			forged(0, voidIn(1), unknown, 0, 9),
			forged(1, startIn(1), refused, 2, 3),
			forged(1, startIn(2), won, 4, 5),
		}, true, true},
		"two starts won": {[]porcupine.Operation{
			forged(0, startIn(1), won, 0, 9),
			forged(1, startIn(2), won, 0, 9),
		}, false, false},
		"two starts won beside an overtaken void": {[]porcupine.Operation{
			forged(0, voidIn(1), overtaken, 0, 9),
			forged(1, startIn(2), won, 0, 9),
			forged(2, startIn(3), won, 0, 9),
		}, false, false},
		"a start won after a void of its attempt": {[]porcupine.Operation{
			forged(0, voidIn(2), won, 0, 1),
			forged(1, startIn(2), won, 2, 3),
		}, false, false},
		"a start won after a void of a later attempt": {[]porcupine.Operation{
			forged(0, voidIn(3), won, 0, 1),
			forged(1, startIn(2), won, 2, 3),
		}, false, false},
		"a start won after an overtaken void of its attempt": {[]porcupine.Operation{
			forged(0, voidIn(1), overtaken, 0, 9),
			forged(1, startIn(1), refused, 0, 1),
			forged(1, startIn(1), won, 2, 3),
		}, false, false},
		"only a start that an overtaken void forbids": {[]porcupine.Operation{
			forged(0, voidIn(4), overtaken, 0, 9),
			forged(1, startIn(4), won, 2, 3),
		}, true, false},
		"a void refused, nothing started": {[]porcupine.Operation{
			forged(0, voidIn(1), refused, 0, 9),
			forged(1, startIn(1), refused, 0, 9),
		}, false, false},
		"an overtaken void, nothing started": {[]porcupine.Operation{
			forged(0, voidIn(1), overtaken, 0, 9),
			forged(1, startIn(1), refused, 0, 9),
		}, false, false},
		"an overtaken void, started after its answer": {[]porcupine.Operation{
			forged(0, voidIn(1), overtaken, 0, 1),
			forged(1, startIn(2), won, 2, 3),
		}, false, false},
		"an overtaken void, started before its call": {[]porcupine.Operation{
			forged(1, startIn(2), won, 0, 1),
			forged(0, voidIn(1), overtaken, 2, 3),
		}, true, false},
		"a void won after a start": {[]porcupine.Operation{
			forged(1, startIn(2), won, 0, 1),
			forged(0, voidIn(1), won, 2, 3),
		}, false, false},
		"a start refused, nothing before": {[]porcupine.Operation{
			forged(1, startIn(2), refused, 0, 1),
			forged(0, voidIn(2), won, 2, 3),
		}, false, false},
		"a start without its reply has one point": {[]porcupine.Operation{
			forged(0, startIn(1), overtaken, 0, 9),
			forged(1, startIn(2), refused, 0, 1),
			forged(1, startIn(3), won, 2, 3),
		}, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, porcupine.CheckOperations(claimModel, tc.history), tc.whole)
			assert.Equal(t, porcupine.CheckOperations(claimModel, pointsOf(tc.history)), tc.points)
		})
	}
}
