package systest

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/standin"
)

const (
	// fatalAttempts is how often a caller sends the fatal request, alternating between the entries.
	fatalAttempts = 12
	// maxFatalRuns is how many runs of it may begin: three that crash engines and three more sends
	// after the third crash.
	maxFatalRuns = 6
)

func TestFatalRequestIsRefusedAfterCrashes(t *testing.T) {
	t.Parallel()
	opts := defaultOptions()
	opts.engines, opts.entries = 4, 2
	s := startSystem(t, opts)
	fatal := call{adapter: adapter(1), content: "fatal", tokens: 3}
	for _, m := range s.members[:opts.engines] {
		s.faults(m.upstreamURL, standin.Faults{Fatal: fatal.tag()})
	}
	var last *call
	refused := 0
	for i := range fatalAttempts {
		c := fatal
		c.entry = i % opts.entries
		last = s.start(&c).wait(t)
		assert.Assert(t, last.outcome != sandbarrow.OutcomeComplete)
		if last.problem.Reason == sandbarrow.ReasonCrashesUpstreams {
			refused++
		}
		time.Sleep(20 * time.Millisecond)
	}
	runs := 0
	for _, m := range s.members[:opts.engines] {
		for _, r := range s.upstreamLog(m.upstreamURL).Runs {
			if r.Tag == fatal.tag() {
				runs++
			}
		}
	}
	assert.Check(t, runs <= maxFatalRuns, "%d runs of one request crashed their engines", runs)
	assert.Check(t, refused >= fatalAttempts/2, "%d of %d attempts were refused", refused, fatalAttempts)
	assert.Check(t, last.outcome == sandbarrow.OutcomeNotRun, "the last attempt: %s", last.body)
	assert.Check(t, last.problem.RetryAfterMS > (time.Minute).Milliseconds(), "the retry time is before the crash records expire")
	other := call{adapter: adapter(1), content: "other", tokens: 3}
	for i := range opts.entries {
		c := other
		c.entry = i
		assert.Equal(t, s.start(&c).wait(t).outcome, sandbarrow.OutcomeComplete)
	}
}
