package claim

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/juju/errors"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/internal/storetest"
	"sandbarrow.example/sandbarrow/store"
)

const id = sandbarrow.RequestID("desk-1/key")

func TestStartAfterEarlierCalls(t *testing.T) {
	started := func(attempt sandbarrow.Attempt, token string) func(s *Store) error {
		return func(s *Store) error {
			return s.Start(context.Background(), id, sandbarrow.Claim{Attempt: attempt, Token: token})
		}
	}
	voided := func(attempt sandbarrow.Attempt) func(s *Store) error {
		return func(s *Store) error {
			_, err := s.Void(context.Background(), id, sandbarrow.Claim{Attempt: attempt, Token: fmt.Sprint("void", attempt)})
			return err
		}
	}
	released := func(attempt sandbarrow.Attempt, token string) func(s *Store) error {
		return func(s *Store) error {
			return s.Release(context.Background(), id, sandbarrow.Claim{Attempt: attempt, Token: token})
		}
	}
	for name, tc := range map[string]struct {
		before []func(s *Store) error
		want   error
	}{
		"first":                 {nil, nil},
		"after a start":         {[]func(*Store) error{started(1, "a")}, ErrStarted},
		"after its void":        {[]func(*Store) error{voided(2)}, ErrVoided},
		"after an earlier void": {[]func(*Store) error{voided(1)}, nil},
		"after a release":       {[]func(*Store) error{started(1, "a"), released(1, "a")}, nil},
		"void after a start":    {[]func(*Store) error{started(1, "a"), voided(1)}, ErrStarted},
	} {
		t.Run(name, func(t *testing.T) {
			kv := store.NewMemory()
			for _, step := range tc.before {
				assert.NilError(t, step(NewStore(kv)))
			}
			err := started(2, "main")(NewStore(kv))
			assert.Assert(t, errors.Is(err, tc.want), "%v", err)
		})
	}
}

func TestAbandonedClaimKeepsEarlierVoid(t *testing.T) {
	ctx := context.Background()
	fault := storetest.None
	s := NewStore(&storetest.Store{Below: store.NewMemory(), Next: func() storetest.Fault { return fault }})
	_, err := s.Void(ctx, id, sandbarrow.Claim{Attempt: 1, Token: "void"})
	assert.NilError(t, err)
	second := sandbarrow.Claim{Attempt: 2, Token: "second"}
	assert.NilError(t, s.Start(ctx, id, second))
	fault = storetest.Unavailable
	assert.Assert(t, s.Release(ctx, id, second) != nil)
	fault = storetest.None
	err = s.Start(ctx, id, sandbarrow.Claim{Attempt: 1, Token: "late"})
	assert.Assert(t, errors.Is(err, ErrVoided), "%v", err)
	record, ok := RecordOf(err)
	assert.Assert(t, ok && record.State == sandbarrow.ClaimVoided && record.Attempt == 2)
	assert.NilError(t, s.Start(ctx, id, sandbarrow.Claim{Attempt: 3, Token: "third"}))
}

func TestAtMostOneRunUnderStoreFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		kv := store.NewMemory()
		faults := rapid.SliceOfN(rapid.IntRange(0, 5), 40, 40).Draw(rt, "faults")
		calls := 0
		faulty := &storetest.Store{Below: kv, Next: func() storetest.Fault {
			calls++
			return storetest.Fault(faults[calls%len(faults)] % 4)
		}}
		// Each of the three agents has its own claimer.
		claimers := []*Store{NewStore(faulty), NewStore(faulty), NewStore(faulty)}
		var ran []sandbarrow.Attempt
		var voidedUpTo sandbarrow.Attempt
		steps := rapid.IntRange(2, 12).Draw(rt, "steps")
		for step := range steps {
			s := claimers[rapid.IntRange(0, 2).Draw(rt, "claimer")]
			c := sandbarrow.Claim{Attempt: sandbarrow.Attempt(rapid.IntRange(1, 4).Draw(rt, "attempt")), Token: fmt.Sprint(step)}
			switch rapid.IntRange(0, 2).Draw(rt, "action") {
			case 0:
				current, err := s.Void(context.Background(), id, c)
				if err == nil && current.State == sandbarrow.ClaimVoided {
					voidedUpTo = max(voidedUpTo, c.Attempt)
				}
			case 1: // claimed, but released without a run
				if s.Start(context.Background(), id, c) == nil {
					_ = s.Release(context.Background(), id, c)
				}
			default:
				if s.Start(context.Background(), id, c) == nil {
					assert.Assert(rt, c.Attempt > voidedUpTo, "a voided attempt ran")
					ran = append(ran, c.Attempt)
				}
			}
		}
		assert.Assert(rt, len(ran) <= 1, "more than one attempt ran: %v", ran)
	})
}

// claimInput is the input of one call of a claimer.
type claimInput struct {
	attempt sandbarrow.Attempt
	read    bool // a read that finds an attempt started
	start   bool
}

type claimOutput struct {
	known     bool // if false, the call failed but may have taken effect
	replyLost bool // a write of the call took effect, but its reply was lost
	won       bool
}

// claimModel models a claim as one register, which is voided up to an attempt or started.
var claimModel = (&porcupine.NondeterministicModel{
	Init: func() []any { return []any{0} }, // -1 if started, otherwise voided up to this attempt
	Step: func(state, input, output any) []any {
		voided, in, out := state.(int), input.(claimInput), output.(claimOutput)
		if in.read {
			return startedOnly(voided)
		}
		permitted := voided >= 0 && (!in.start || int(in.attempt) > voided)
		next := voided
		if permitted {
			next = max(voided, int(in.attempt))
			if in.start {
				next = -1
			}
		}
		switch {
		case !out.known:
			return []any{voided, next}
		case out.won != permitted:
			return nil
		}
		return []any{next}
	},
}).ToModel()

// startedOnly is the model's step for a read that finds an attempt started.
func startedOnly(voided int) []any {
	if voided >= 0 {
		return nil
	}
	return []any{voided}
}

// linearizationPoints splits the calls of a history into operations with one linearization point
// each. Only one kind of call has two: a void whose write took effect but whose reply was lost,
// and which then read that a later attempt had started. Its points are the void and the read.
func linearizationPoints(calls []porcupine.Operation) []porcupine.Operation {
	var points []porcupine.Operation
	for _, call := range calls {
		in, out := call.Input.(claimInput), call.Output.(claimOutput)
		if in.start || !out.known || out.won || !out.replyLost {
			points = append(points, call)
			continue
		}
		void, read := call, call
		void.Output = claimOutput{known: true, won: true}
		read.Input = claimInput{read: true}
		points = append(points, void, read)
	}
	return points
}

// lostReplyDetector forwards the calls of one client and detects writes that take effect although
// their reply is lost.
type lostReplyDetector struct {
	sandbarrow.Store
	fault     storetest.Fault // of the current call
	replyLost bool
}

// CompareAndSwap forwards the call and records whether its reply will be lost.
func (w *lostReplyDetector) CompareAndSwap(ctx context.Context, key string, previous sandbarrow.StoreRevision, value []byte, lease sandbarrow.LeaseID) (sandbarrow.StoreRevision, error) {
	revision, err := w.Store.CompareAndSwap(ctx, key, previous, value, lease)
	if err == nil && w.fault == storetest.Lost {
		w.replyLost = true
	}
	return revision, err
}

// withFaults returns the store with the faults that next returns.
func (w *lostReplyDetector) withFaults(next func() storetest.Fault) *storetest.Store {
	return &storetest.Store{Below: w, Next: func() storetest.Fault {
		w.fault = next()
		return w.fault
	}}
}

// TestConcurrentClaimsAreLinearizable checks histories of concurrent claims against the model.
func TestConcurrentClaimsAreLinearizable(t *testing.T) {
	for seed := range uint64(30) {
		kv := store.NewMemory()
		var mu sync.Mutex
		var history []porcupine.Operation
		var wg sync.WaitGroup
		for client := range 4 {
			wg.Go(func() {
				r := rand.New(rand.NewPCG(seed, uint64(client)))
				w := &lostReplyDetector{Store: kv}
				s := NewStore(w.withFaults(func() storetest.Fault {
					if r.IntN(4) == 0 {
						return storetest.Lost
					}
					return storetest.None
				}))
				for range 3 {
					op := claimOnce(s, w, r, client)
					mu.Lock()
					history = append(history, op)
					mu.Unlock()
				}
			})
		}
		wg.Wait()
		assert.Assert(t, porcupine.CheckOperations(claimModel, linearizationPoints(history)), "seed %d: %v", seed, history)
	}
}

func claimOnce(s *Store, w *lostReplyDetector, r *rand.Rand, client int) porcupine.Operation {
	in := claimInput{attempt: sandbarrow.Attempt(1 + r.IntN(4)), start: r.IntN(2) == 0}
	op, _ := recordedCall(s, w, in, fmt.Sprint(r.Uint64()), client)
	return op
}

// recordedCall makes a call. It returns the call as an operation, and the record that the call returned.
func recordedCall(s *Store, w *lostReplyDetector, in claimInput, token string, client int) (porcupine.Operation, sandbarrow.Claim) {
	c := sandbarrow.Claim{Attempt: in.attempt, Token: token}
	var out claimOutput
	var current sandbarrow.Claim
	w.replyLost = false
	op := porcupine.Operation{Call: time.Now().UnixNano(), ClientId: client, Input: in}
	if in.start {
		err := s.Start(context.Background(), id, c)
		current, _ = RecordOf(err)
		out = claimOutput{known: !errors.Is(err, ErrStore), won: err == nil}
	} else {
		var err error
		current, err = s.Void(context.Background(), id, c)
		out = claimOutput{known: err == nil, won: err == nil && current.State == sandbarrow.ClaimVoided}
	}
	op.Return = time.Now().UnixNano()
	out.replyLost = w.replyLost
	op.Output = out
	return op, current
}
