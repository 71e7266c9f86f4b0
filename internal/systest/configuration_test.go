package systest

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/config"
	"sandbarrow.example/sandbarrow/internal/await"
	"sandbarrow.example/sandbarrow/standin"
	"sandbarrow.example/sandbarrow/store"
)

// forceLimit is the promise at today's size.
const forceLimit = 5 * time.Second

const revisionMetric = "sandbarrow_configuration_revision"

// waitRevision waits until all processes have a revision and returns how long it took.
func (s *system) waitRevision(revision float64) time.Duration {
	s.t.Helper()
	started := time.Now()
	urls := append([]string(nil), s.urls...)
	for _, m := range s.members {
		urls = append(urls, m.url(s.t))
	}
	await.Until(s.t, forceLimit, "configuration in force everywhere", func() bool {
		for _, u := range urls {
			if metric(u, revisionMetric) != revision {
				return false
			}
		}
		return true
	})
	return time.Since(started)
}

func TestFaultMatrixConfiguration(t *testing.T) {
	t.Run("rollout-and-rollback", func(t *testing.T) {
		t.Parallel()
		s := startSystem(t, defaultShape())
		stop := s.drive(20*time.Millisecond, streamOf)
		s.apply("v2", 1)
		t.Logf("in force everywhere after %v", s.waitRevision(2))
		time.Sleep(300 * time.Millisecond)
		s.apply("v1", 2)
		t.Logf("in force everywhere after %v", s.waitRevision(3))
		after := s.start(streamOf(1000)).wait(t)
		assert.Equal(t, after.header.Get("Sandbarrow-Model"), string(after.adapter)+"@v1")
		calls := stop()
		wholeCalls(t, calls)
		s.checker.verify("v1", "v2")
		for _, c := range calls {
			checkRevision(t, c)
		}
	})
	t.Run("racing-operators", func(t *testing.T) {
		t.Parallel()
		s := startSystem(t, defaultShape())
		var mu sync.Mutex
		results := map[config.ApplyResult]int{}
		var wg sync.WaitGroup
		for i := range 6 {
			wg.Go(func() {
				result, _, _ := config.Apply(context.Background(), store.NewHTTP(s.kv), testDocument(fmt.Sprintf("v%d", 1+i%2)), 1)
				mu.Lock()
				defer mu.Unlock()
				results[result]++
			})
		}
		wg.Wait()
		assert.DeepEqual(t, results, map[config.ApplyResult]int{config.ApplyAccepted: 1, config.ApplyConflict: 5})
		s.waitRevision(2)
	})
	t.Run("starts-in-outage", func(t *testing.T) {
		t.Parallel()
		s := startSystem(t, defaultShape())
		s.apply("v2", 1)
		s.waitRevision(2)
		s.faults(s.kv, standin.Faults{Down: true})
		s.entries[0].signal(t, syscall.SIGKILL)
		s.startEntry(0)
		for _, m := range s.members[:2] {
			m.process.signal(t, syscall.SIGKILL)
			s.startAgent(m)
		}
		t.Logf("in force everywhere after %v", s.waitRevision(2))
		s.faults(s.kv, standin.Faults{})
		await.Until(t, 10*time.Second, "an answer under v2", func() bool {
			c := s.start(streamOf(1)).wait(t)
			return c.outcome == sandbarrow.OutcomeComplete && c.header.Get("Sandbarrow-Model") == string(c.adapter)+"@v2"
		})
		s.checker.verify("v2")
	})
	for _, step := range []string{"shard-write", "head-swap"} {
		t.Run("answer-lost/"+step, func(t *testing.T) {
			t.Parallel()
			s := startSystem(t, defaultShape())
			lost := 1
			if step == "head-swap" {
				lost = 1000 // each call until the fault is healed
			}
			s.faults(s.kv, standin.Faults{LoseReplies: lost})
			result, head, err := config.Apply(context.Background(), store.NewHTTP(s.kv), testDocument("v2"), 1)
			assert.NilError(t, err)
			assert.Equal(t, result, config.ApplyAccepted)
			assert.Equal(t, head.Revision, sandbarrow.Revision(2))
			s.waitRevision(2)
		})
	}
	t.Run("store-lost-its-head", func(t *testing.T) {
		t.Parallel()
		s := startSystem(t, defaultShape())
		s.apply("v2", 1)
		s.waitRevision(2)
		// The platform comes back with an older head under a newer key revision.
		kv := store.NewHTTP(s.kv)
		item, err := kv.Get(context.Background(), config.HeadKey)
		assert.NilError(t, err)
		old := s.oldHead()
		_, err = kv.CompareAndSwap(context.Background(), config.HeadKey, item.Revision, old, "")
		assert.NilError(t, err)
		time.Sleep(time.Second)
		s.waitRevision(2)
	})
}

// oldHead is the first head, as a platform that lost writes would show it.
func (s *system) oldHead() []byte {
	s.t.Helper()
	other := s.serve(standin.NewKV(standin.KVLimits{}))
	kv := store.NewHTTP(other)
	_, _, err := config.Apply(context.Background(), kv, testDocument("v1"), 0)
	assert.NilError(s.t, err)
	item, err := kv.Get(context.Background(), config.HeadKey)
	assert.NilError(s.t, err)
	return item.Value
}

// checkRevision checks that a call ran under one revision from end to end.
func checkRevision(t *testing.T, c *call) {
	t.Helper()
	want := map[string]string{"1": "v1", "2": "v2", "3": "v1"}[c.header.Get("Sandbarrow-Revision")]
	assert.Equal(t, c.header.Get("Sandbarrow-Model"), string(c.adapter)+"@"+want)
}
