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

// propagationLimit bounds how soon a configuration must be in force in all processes.
const propagationLimit = 5 * time.Second

const revisionMetric = "sandbarrow_configuration_revision"

// waitRevision waits until a revision is in force in all processes and returns how long it took.
func (s *system) waitRevision(revision float64) time.Duration {
	s.t.Helper()
	started := time.Now()
	urls := append([]string(nil), s.urls...)
	for _, m := range s.members {
		urls = append(urls, m.metricsURL(s.t))
	}
	await.Until(s.t, propagationLimit, "configuration in force everywhere", func() bool {
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
		s := startSystem(t, defaultOptions())
		stop := s.sendContinuously(20*time.Millisecond, streamCall)
		s.applyVersion("v2", 1)
		t.Logf("in force everywhere after %v", s.waitRevision(2))
		time.Sleep(300 * time.Millisecond)
		s.applyVersion("v1", 2)
		t.Logf("in force everywhere after %v", s.waitRevision(3))
		after := s.start(streamCall(1000)).wait(t)
		assert.Equal(t, after.header.Get("Sandbarrow-Model"), string(after.adapter)+"@v1")
		calls := stop()
		assertComplete(t, calls)
		s.checker.verify("v1", "v2")
		for _, c := range calls {
			checkSingleRevision(t, c)
		}
	})
	t.Run("concurrent-applies", func(t *testing.T) {
		t.Parallel()
		s := startSystem(t, defaultOptions())
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
	t.Run("starts-during-store-outage", func(t *testing.T) {
		t.Parallel()
		s := startSystem(t, defaultOptions())
		s.applyVersion("v2", 1)
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
		await.Until(t, 10*time.Second, "a response by version v2", func() bool {
			c := s.start(streamCall(1)).wait(t)
			return c.outcome == sandbarrow.OutcomeComplete && c.header.Get("Sandbarrow-Model") == string(c.adapter)+"@v2"
		})
		s.checker.verify("v2")
	})
	for _, step := range []string{"shard-write", "head-swap"} {
		t.Run("reply-lost/"+step, func(t *testing.T) {
			t.Parallel()
			s := startSystem(t, defaultOptions())
			lost := 1
			if step == "head-swap" {
				lost = 1000 // each changing call until the fault is cleared
			}
			s.faults(s.kv, standin.Faults{LoseReplies: lost})
			result, head, err := config.Apply(context.Background(), store.NewHTTP(s.kv), testDocument("v2"), 1)
			assert.NilError(t, err)
			assert.Equal(t, result, config.ApplyAccepted)
			assert.Equal(t, head.Revision, sandbarrow.Revision(2))
			s.waitRevision(2)
		})
	}
	t.Run("store-returns-older-head", func(t *testing.T) {
		t.Parallel()
		s := startSystem(t, defaultOptions())
		s.applyVersion("v2", 1)
		s.waitRevision(2)
		// The store returns an older head under a newer key revision.
		kv := store.NewHTTP(s.kv)
		item, err := kv.Get(context.Background(), config.HeadKey)
		assert.NilError(t, err)
		stale := s.staleHead()
		_, err = kv.CompareAndSwap(context.Background(), config.HeadKey, item.Revision, stale, "")
		assert.NilError(t, err)
		time.Sleep(time.Second)
		s.waitRevision(2)
	})
}

// staleHead returns the head of the first revision, as a store that lost writes would return it.
func (s *system) staleHead() []byte {
	s.t.Helper()
	otherStore := s.serve(standin.NewKV(standin.KVLimits{}))
	kv := store.NewHTTP(otherStore)
	_, _, err := config.Apply(context.Background(), kv, testDocument("v1"), 0)
	assert.NilError(s.t, err)
	item, err := kv.Get(context.Background(), config.HeadKey)
	assert.NilError(s.t, err)
	return item.Value
}

// checkSingleRevision checks that a call ran on the model version of the revision in its response.
func checkSingleRevision(t *testing.T, c *call) {
	t.Helper()
	want := map[string]string{"1": "v1", "2": "v2", "3": "v1"}[c.header.Get("Sandbarrow-Revision")]
	assert.Equal(t, c.header.Get("Sandbarrow-Model"), string(c.adapter)+"@"+want)
}
