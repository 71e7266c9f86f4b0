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

func TestChangesAndFaultsKeepTheirBounds(t *testing.T) {
	t.Run("leave", func(t *testing.T) {
		s := startSystem(t, defaultShape())
		stop := s.drive(20*time.Millisecond, streamOf)
		time.Sleep(time.Second)
		m := s.members[0]
		m.box.State = sandbarrow.BoxDraining
		s.publish()
		last := s.lastRun(m, time.Now(), leaveLimit)
		t.Logf("last new request %v after the list said leaving", last)
		assert.Assert(t, last < leaveLimit)
		wholeCalls(t, stop())
	})
	t.Run("outage-end", func(t *testing.T) {
		s := startSystem(t, defaultShape())
		s.faults(s.kv, standin.Faults{Down: true})
		time.Sleep(outage)
		s.faults(s.kv, standin.Faults{})
		healed := time.Now()
		s.normal(kinds[1])
		t.Logf("once-only requests answered %v after the store was back", time.Since(healed))
		assert.Assert(t, time.Since(healed) < 5*time.Second)
	})
	t.Run("once-only", func(t *testing.T) {
		s := startSystem(t, defaultShape())
		writes := s.writes()
		const n = 100
		times := map[string][]time.Duration{}
		for i := range 2 * n {
			c := &call{adapter: adapter(1), content: fmt.Sprint(i), tokens: 2}
			kind := "repeatable"
			if i%2 == 0 {
				c.onceKey, kind = fmt.Sprint(i), "once-only"
			}
			assert.Equal(t, s.start(c).wait(t).outcome, sandbarrow.OutcomeComplete)
			times[kind] = append(times[kind], c.took)
		}
		for _, took := range times {
			slices.Sort(took)
		}
		once, plain := times["once-only"][n/2], times["repeatable"][n/2]
		t.Logf("median of once-only %v, of repeatable %v, ratio %.2f; %.2f store writes a once-only request, leases included",
			once, plain, float64(once)/float64(plain), float64(s.writes()-writes)/n)
	})
}

// lastRun watches a member for some time and returns when its last run began.
func (s *system) lastRun(m *member, since time.Time, within time.Duration) time.Duration {
	last, runs := time.Duration(0), len(s.log(m.backend).Runs)
	for time.Since(since) < within+time.Second {
		if n := len(s.log(m.backend).Runs); n != runs {
			last, runs = time.Since(since), n
		}
		time.Sleep(5 * time.Millisecond)
	}
	return last
}

// writes reads the write calls that the store has counted.
func (s *system) writes() int64 {
	var counts map[string]int64
	s.read(s.kv+"/counts", &counts)
	return counts["writes"]
}
