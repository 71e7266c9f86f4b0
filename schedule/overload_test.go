package schedule_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sandbarrow.example/sandbarrow/workload"
)

// overloadOptions returns the trace options of these tests.
func overloadOptions(duration time.Duration) workload.Options {
	return workload.Options{Duration: duration, Seed: 1, Skew: 1.1, ChurnShare: 0.06}
}

func TestOverloadRefusesEarlyAndByPriority(t *testing.T) {
	for _, e := range []workload.Estate{workload.Address(), workload.Registre()} {
		e.RequestsPerSecond *= 3
		r := replay(&e, workload.Trace(&e, overloadOptions(8*time.Minute)))
		for _, c := range e.Classes {
			assert.Assert(t, r.refusedShare(c.Class) < 0.6, "%s/%s: %.2f refused", e.Name, c.Class, r.refusedShare(c.Class))
			assert.Assert(t, quantile(r.waitsBy[c.Class], 1) <= e.Deadline+tick, "%s/%s waited past its deadline", e.Name, c.Class)
		}
		urgent, last := e.Classes[0].Class, e.Classes[len(e.Classes)-1].Class
		assert.Assert(t, r.refusedShare(urgent) < r.refusedShare(last), "%s was refused at least as often as %s", urgent, last)
		assert.Assert(t, quantile(r.refusals, 0.5) < e.Deadline/2, "the median refusal came after %v", quantile(r.refusals, 0.5))
		assert.Assert(t, r.refused > 0)
	}
}

// TestReplayIsDeterministic checks that two replays of a trace give the same result.
func TestReplayIsDeterministic(t *testing.T) {
	e := workload.Address()
	trace := workload.Trace(&e, overloadOptions(4*time.Minute))
	a, b := replay(&e, trace), replay(&e, trace)
	assert.Equal(t, a.stalls, b.stalls)
	assert.Equal(t, a.stallTime, b.stallTime)
	assert.Equal(t, quantile(a.waits, 0.99), quantile(b.waits, 0.99))
}
