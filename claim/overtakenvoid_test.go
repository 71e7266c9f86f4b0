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

// The possible outputs of calls.
var (
	overtaken = claimOutput{known: true, replyLost: true}
	refused   = claimOutput{known: true}
	unknown   = claimOutput{}
	won       = claimOutput{known: true, won: true}
)

// interruptedStore runs a function once, after the first write that returns an error and before
// the next call.
type interruptedStore struct {
	sandbarrow.Store
	between func()
}

// CompareAndSwap forwards the call, and runs between after the first error.
func (s *interruptedStore) CompareAndSwap(ctx context.Context, key string, previous sandbarrow.StoreRevision, value []byte, lease sandbarrow.LeaseID) (sandbarrow.StoreRevision, error) {
	revision, err := s.Store.CompareAndSwap(ctx, key, previous, value, lease)
	between := s.between
	if err != nil && between != nil {
		s.between = nil
		between()
	}
	return revision, err
}

// loseReplies loses the reply to each call from first to last, counted from 1.
func loseReplies(first, last int) func() storetest.Fault {
	calls := 0
	return func() storetest.Fault {
		calls++
		if calls >= first && calls <= last {
			return storetest.ReplyLost
		}
		return storetest.None
	}
}

// overtakenVoid voids attempt 1 and loses the reply to the write. It runs between before the
// void reads the record back; between must start attempt 4 under the token "fourth". The
// function checks that the void returns the record of attempt 4. It returns the claimer that
// made the void, and the void as an operation.
func overtakenVoid(t *testing.T, kv sandbarrow.Store, between func()) (*Store, porcupine.Operation) {
	// The first call grants the lease, the second is the write.
	w := &lostReplyDetector{Store: kv}
	interrupted := &interruptedStore{Store: w.withFaults(loseReplies(2, 2)), between: between}
	s := NewStore(interrupted)
	call, current := recordedCall(s, w, claimInput{attempt: 1}, "void", 0)
	assert.Assert(t, interrupted.between == nil, "between did not run")
	assert.Equal(t, call.Output, any(overtaken))
	want := sandbarrow.Claim{Attempt: 4, State: sandbarrow.ClaimStarted, Token: "fourth"}
	assert.Equal(t, current, want)
	return s, call
}

func startAttempt(s *Store, attempt sandbarrow.Attempt, token string) error {
	return s.Start(context.Background(), id, sandbarrow.Claim{Attempt: attempt, Token: token})
}

// assertRefused checks that no claimer permits the attempt to start.
func assertRefused(t *testing.T, attempt sandbarrow.Attempt, want error, claimers ...*Store) {
	t.Helper()
	for _, s := range claimers {
		err := startAttempt(s, attempt, "refused")
		assert.Assert(t, errors.Is(err, want), "attempt %d: %v", attempt, err)
	}
}

func TestNoStartAfterOvertakenVoid(t *testing.T) {
	kv := store.NewMemory()
	other := NewStore(kv)
	voider, _ := overtakenVoid(t, kv, func() {
		assertRefused(t, 1, ErrVoided, other)
		assert.NilError(t, startAttempt(other, 4, "fourth"))
	})
	for attempt := range sandbarrow.Attempt(6) {
		assertRefused(t, attempt, ErrStarted, voider, other, NewStore(kv))
	}
}

func TestOvertakenVoidHoldsAfterRelease(t *testing.T) {
	kv := store.NewMemory()
	other := NewStore(kv)
	voider, _ := overtakenVoid(t, kv, func() {
		assert.NilError(t, startAttempt(other, 4, "fourth"))
	})
	assert.NilError(t, other.Release(context.Background(), id, sandbarrow.Claim{Attempt: 4, Token: "fourth"}))
	claimers := []*Store{voider, other, NewStore(kv)}
	assertRefused(t, 1, ErrVoided, claimers...)
	assertRefused(t, 4, ErrVoided, claimers...)
	assert.NilError(t, startAttempt(voider, 5, "fifth"))
	assertRefused(t, 1, ErrStarted, claimers...)
	assertRefused(t, 6, ErrStarted, claimers...)
}

func TestOvertakenVoidHoldsAfterAbandonedClaim(t *testing.T) {
	kv := store.NewMemory()
	// The grant of the lease, a conflicting write and a read get replies. The replies to the
	// write that takes effect and to all later calls are lost.
	other := NewStore(&storetest.Store{Inner: kv, Next: loseReplies(4, 1+2*maxWriteAttempts)})
	voider, _ := overtakenVoid(t, kv, func() {
		err := startAttempt(other, 4, "fourth")
		assert.Assert(t, errors.Is(err, ErrStore), "%v", err)
	})
	assertRefused(t, 1, ErrStarted, voider, NewStore(kv))
	assertRefused(t, 1, ErrVoided, other)
	assertRefused(t, 3, ErrVoided, other)
	assert.NilError(t, startAttempt(other, 5, "fifth"))
	assertRefused(t, 1, ErrStarted, voider, other, NewStore(kv))
	assertRefused(t, 6, ErrStarted, voider, other, NewStore(kv))
}

func TestOvertakenVoidHasTwoLinearizationPoints(t *testing.T) {
	kv := store.NewMemory()
	w := &lostReplyDetector{Store: kv}
	other := NewStore(w)
	var history []porcupine.Operation
	_, void := overtakenVoid(t, kv, func() {
		first, _ := recordedCall(other, w, claimInput{attempt: 1, start: true}, "first", 1)
		fourth, _ := recordedCall(other, w, claimInput{attempt: 4, start: true}, "fourth", 1)
		history = append(history, first, fourth)
	})
	history = append(history, void)
	assert.Equal(t, history[0].Output, any(refused))
	assert.Equal(t, history[1].Output, any(won))
	assert.Assert(t, !porcupine.CheckOperations(claimModel, history), "%v", history)
	assert.Assert(t, porcupine.CheckOperations(claimModel, linearizationPoints(history)), "%v", history)
}

// operation returns one call of a hand-written history.
func operation(client int, in claimInput, out claimOutput, call, end int64) porcupine.Operation {
	return porcupine.Operation{Call: call, ClientId: client, Input: in, Output: out, Return: end}
}

// overtakenHistory returns a recorded history of four clients, in which a start overtook the first
// void of client 0. Times are in nanoseconds from the start of the history; first is the
// output of that void.
func overtakenHistory(first claimOutput) []porcupine.Operation {
	return []porcupine.Operation{
		operation(1, startInput(1), refused, 7951, 61138),
		operation(1, startInput(4), won, 65583, 110078),
		operation(1, voidInput(2), refused, 113754, 144343),
		operation(0, voidInput(1), first, 0, 165741),
		operation(0, voidInput(4), refused, 169460, 201523),
		operation(0, startInput(4), refused, 206314, 237001),
		operation(3, startInput(4), refused, 19299, 269320),
		operation(2, voidInput(1), refused, 14476, 284960),
		operation(3, startInput(1), refused, 274151, 313168),
		operation(2, startInput(2), refused, 290613, 331042),
		operation(3, voidInput(2), refused, 319965, 352647),
		operation(2, voidInput(1), refused, 335026, 367688),
	}
}

func startInput(attempt sandbarrow.Attempt) claimInput {
	return claimInput{attempt: attempt, start: true}
}

func voidInput(attempt sandbarrow.Attempt) claimInput { return claimInput{attempt: attempt} }

func TestClaimModelOnGivenHistories(t *testing.T) {
	for name, tc := range map[string]struct {
		history           []porcupine.Operation
		asCalls, asPoints bool
	}{
		"recorded, with the lost reply": {overtakenHistory(overtaken), false, true},
		"recorded, no reply lost":       {overtakenHistory(refused), false, false},
		"a void, a refused start, a later start": {[]porcupine.Operation{
			operation(0, voidInput(1), won, 0, 1),
			operation(1, startInput(1), refused, 2, 3),
			operation(1, startInput(2), won, 4, 5),
			operation(0, voidInput(1), refused, 6, 7),
		}, true, true},
		"a void of unknown outcome, a refused start, a later start": {[]porcupine.Operation{
			operation(0, voidInput(1), unknown, 0, 9),
			operation(1, startInput(1), refused, 2, 3),
			operation(1, startInput(2), won, 4, 5),
		}, true, true},
		"two starts won": {[]porcupine.Operation{
			operation(0, startInput(1), won, 0, 9),
			operation(1, startInput(2), won, 0, 9),
		}, false, false},
		"two starts won, and an overtaken void": {[]porcupine.Operation{
			operation(0, voidInput(1), overtaken, 0, 9),
			operation(1, startInput(2), won, 0, 9),
			operation(2, startInput(3), won, 0, 9),
		}, false, false},
		"a start won after a void of its attempt": {[]porcupine.Operation{
			operation(0, voidInput(2), won, 0, 1),
			operation(1, startInput(2), won, 2, 3),
		}, false, false},
		"a start won after a void of a later attempt": {[]porcupine.Operation{
			operation(0, voidInput(3), won, 0, 1),
			operation(1, startInput(2), won, 2, 3),
		}, false, false},
		"a start won after an overtaken void of its attempt": {[]porcupine.Operation{
			operation(0, voidInput(1), overtaken, 0, 9),
			operation(1, startInput(1), refused, 0, 1),
			operation(1, startInput(1), won, 2, 3),
		}, false, false},
		"only a start that an overtaken void forbids": {[]porcupine.Operation{
			operation(0, voidInput(4), overtaken, 0, 9),
			operation(1, startInput(4), won, 2, 3),
		}, true, false},
		"a void refused, nothing started": {[]porcupine.Operation{
			operation(0, voidInput(1), refused, 0, 9),
			operation(1, startInput(1), refused, 0, 9),
		}, false, false},
		"an overtaken void, nothing started": {[]porcupine.Operation{
			operation(0, voidInput(1), overtaken, 0, 9),
			operation(1, startInput(1), refused, 0, 9),
		}, false, false},
		"an overtaken void, started after its return": {[]porcupine.Operation{
			operation(0, voidInput(1), overtaken, 0, 1),
			operation(1, startInput(2), won, 2, 3),
		}, false, false},
		"an overtaken void, started before its call": {[]porcupine.Operation{
			operation(1, startInput(2), won, 0, 1),
			operation(0, voidInput(1), overtaken, 2, 3),
		}, true, false},
		"a void won after a start": {[]porcupine.Operation{
			operation(1, startInput(2), won, 0, 1),
			operation(0, voidInput(1), won, 2, 3),
		}, false, false},
		"a start refused, no call before it": {[]porcupine.Operation{
			operation(1, startInput(2), refused, 0, 1),
			operation(0, voidInput(2), won, 2, 3),
		}, false, false},
		"a start whose reply was lost has one linearization point": {[]porcupine.Operation{
			operation(0, startInput(1), overtaken, 0, 9),
			operation(1, startInput(2), refused, 0, 1),
			operation(1, startInput(3), won, 2, 3),
		}, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, porcupine.CheckOperations(claimModel, tc.history), tc.asCalls)
			assert.Equal(t, porcupine.CheckOperations(claimModel, linearizationPoints(tc.history)), tc.asPoints)
		})
	}
}
