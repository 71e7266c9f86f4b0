package systest

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/standin"
)

const (
	// fatalRepeats is how often a caller repeats the fatal request, at one entry after the
	// other.
	fatalRepeats = 12
	// fatalMost is how many runs of it may begin: three, and three more.
	fatalMost = 6
)

func TestFatalRequest(t *testing.T) {
	t.Parallel()
	sh := defaultShape()
	sh.engines, sh.entries = 4, 2
	s := startSystem(t, sh)
	fatal := call{adapter: adapter(1), content: "fatal", tokens: 3}
	for _, m := range s.members[:sh.engines] {
		s.faults(m.backend, standin.Faults{Fatal: fatal.tag()})
	}
	var last *call
	refused := 0
	for i := range fatalRepeats {
		c := fatal
		c.entry = i % sh.entries
		last = s.start(&c).wait(t)
		assert.Assert(t, last.outcome != sandbarrow.OutcomeComplete)
		if last.problem.Reason == sandbarrow.ReasonCrashesUpstreams {
			refused++
		}
		time.Sleep(20 * time.Millisecond)
	}
	runs := 0
	for _, m := range s.members[:sh.engines] {
		for _, r := range s.log(m.backend).Runs {
			if r.Tag == fatal.tag() {
				runs++
			}
		}
	}
	assert.Check(t, runs <= fatalMost, "%d runs of one request ended their engines", runs)
	assert.Check(t, refused >= fatalRepeats/2, "%d of %d tries were refused", refused, fatalRepeats)
	assert.Check(t, last.outcome == sandbarrow.OutcomeNotRun, "the last try: %s", last.body)
	assert.Check(t, last.problem.RetryAfterMS > (time.Minute).Milliseconds(), "when it is forgotten")
	other := call{adapter: adapter(1), content: "other", tokens: 3}
	for i := range sh.entries {
		c := other
		c.entry = i
		assert.Equal(t, s.start(&c).wait(t).outcome, sandbarrow.OutcomeComplete)
	}
}
