package systest

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/standin"
)

func TestDrainAndStoreRecoveryAreBounded(t *testing.T) {
	t.Run("drain", func(t *testing.T) {
		s := startSystem(t, defaultOptions())
		stop := s.sendContinuously(20*time.Millisecond, streamCall)
		time.Sleep(time.Second)
		m := s.members[0]
		m.box.State = sandbarrow.BoxDraining
		s.publishBoxes()
		last := s.lastRunStart(m, time.Now(), drainLimit)
		t.Logf("last new request %v after the list of boxes reported draining", last)
		assert.Assert(t, last < drainLimit)
		assertComplete(t, stop())
	})
	t.Run("store-recovery", func(t *testing.T) {
		s := startSystem(t, defaultOptions())
		s.faults(s.kv, standin.Faults{Down: true})
		time.Sleep(faultDuration)
		s.faults(s.kv, standin.Faults{})
		recovered := time.Now()
		s.waitServing(requestKinds[1])
		t.Logf("at-most-once requests served %v after the store recovered", time.Since(recovered))
		assert.Assert(t, time.Since(recovered) < 5*time.Second)
	})
	t.Run("at-most-once-cost", func(t *testing.T) {
		s := startSystem(t, defaultOptions())
		storeWrites := s.storeWrites()
		const n = 100
		times := map[string][]time.Duration{}
		for i := range 2 * n {
			c := &call{adapter: adapter(1), content: fmt.Sprint(i), tokens: 2}
			kind := "retryable"
			if i%2 == 0 {
				c.idempotencyKey, kind = fmt.Sprint(i), "at-most-once"
			}
			assert.Equal(t, s.start(c).wait(t).outcome, sandbarrow.OutcomeComplete)
			times[kind] = append(times[kind], c.duration)
		}
		for _, duration := range times {
			slices.Sort(duration)
		}
		atMostOnce, retryable := times["at-most-once"][n/2], times["retryable"][n/2]
		t.Logf("median of at-most-once %v, of retryable %v, ratio %.2f; %.2f store writes per at-most-once request, including leases",
			atMostOnce, retryable, float64(atMostOnce)/float64(retryable), float64(s.storeWrites()-storeWrites)/n)
	})
}

// lastRunStart watches a member until a second after the bound and returns how long after since its
// last run began.
func (s *system) lastRunStart(m *member, since time.Time, within time.Duration) time.Duration {
	last, runs := time.Duration(0), len(s.upstreamLog(m.upstreamURL).Runs)
	for time.Since(since) < within+time.Second {
		if n := len(s.upstreamLog(m.upstreamURL).Runs); n != runs {
			last, runs = time.Since(since), n
		}
		time.Sleep(5 * time.Millisecond)
	}
	return last
}

// storeWrites returns the number of write calls to the store.
func (s *system) storeWrites() int64 {
	var counts map[string]int64
	s.readJSON(s.kv+"/counts", &counts)
	return counts["writes"]
}
