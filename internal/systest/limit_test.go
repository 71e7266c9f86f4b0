package systest

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/standin"
)

const (
	// limitRate is the limit that upstreams name, in requests a second.
	limitRate = 1.4
	// limitContact is how long after it was named a limit must hold, over each limitWindow for
	// limitOver times the limit and limitSlack requests.
	limitContact = 3 * time.Second
	limitWindow  = 4 * time.Second
	limitOver    = 1.5
	limitSlack   = 5
	// limitUsed is the part of what an upstream takes that it gets at least.
	limitUsed = 0.7
	// limitRefusal is how soon a request is refused that can't be served.
	limitRefusal = 500 * time.Millisecond
	// limitLasts is how long the callers send, limitPause the pause between two requests.
	limitLasts = limitContact + 2*limitWindow
	limitPause = 40 * time.Millisecond
)

func TestUpstreamLimit(t *testing.T) {
	for name, one := range map[string]call{
		"service": {service: true},
		"engine":  {adapter: adapter(1), tokens: 2},
		"stream":  {adapter: adapter(1), tokens: 2, stream: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			sh := defaultShape()
			sh.engines, sh.entries = 1, 2
			s := startSystem(t, sh)
			backend := s.members[0].backend
			if one.service {
				backend = s.members[sh.engines].backend
			}
			assert.Equal(t, s.start(copyOf(one, "before", 0)).wait(t).outcome, sandbarrow.OutcomeComplete)
			s.faults(backend, standin.Faults{Limit: fmt.Sprint(limitRate)})
			runs := watchRuns(t, s, backend)
			var calls []*call
			for began := time.Now(); time.Since(began) < limitLasts; time.Sleep(limitPause) {
				calls = append(calls, s.start(copyOf(one, fmt.Sprint(len(calls)), len(calls)%sh.entries)))
			}
			checkLimited(t, runs())
			for _, c := range calls {
				checkRefusal(t, c.wait(t))
			}
			s.faults(backend, standin.Faults{})
			time.Sleep(2 * time.Second)
			var after []*call
			for i := range 10 {
				after = append(after, s.start(copyOf(one, fmt.Sprint("after", i), i%sh.entries)))
				time.Sleep(limitPause)
			}
			served := 0
			for _, c := range after {
				if c.wait(t).outcome == sandbarrow.OutcomeComplete {
					served++
				}
			}
			assert.Check(t, served >= 8, "%d of 10 served after the limit has ended", served)
		})
	}
}

// copyOf is one more request of a kind, at an entry.
func copyOf(c call, content string, entry int) *call {
	c.content, c.entry = content, entry
	return &c
}

// watchRuns notes when runs begin at an upstream, until the function that it returns is called.
func watchRuns(t *testing.T, s *system, backend string) (end func() []time.Time) {
	t.Helper()
	var times []time.Time
	seen := len(s.log(backend).Runs)
	stop := make(chan struct{})
	var watching sync.WaitGroup
	watching.Go(func() {
		for {
			for n := len(s.log(backend).Runs); seen < n; seen++ {
				times = append(times, time.Now())
			}
			select {
			case <-stop:
				return
			case <-time.After(20 * time.Millisecond):
			}
		}
	})
	return func() []time.Time {
		close(stop)
		watching.Wait()
		return times
	}
}

// checkLimited checks that an upstream got no more than its limit allows, and not much less.
func checkLimited(t *testing.T, runs []time.Time) {
	t.Helper()
	if !assert.Check(t, len(runs) > 0) {
		return
	}
	from := runs[0].Add(limitContact)
	runs = slices.DeleteFunc(runs, func(at time.Time) bool { return at.Before(from) })
	worst := 0
	for i, begin := range runs {
		n := 0
		for _, at := range runs[i:] {
			if at.Before(begin.Add(limitWindow)) {
				n++
			}
		}
		worst = max(worst, n)
	}
	allowed := limitOver*limitRate*limitWindow.Seconds() + limitSlack
	assert.Check(t, float64(worst) <= allowed, "%d requests in %v, %.1f are allowed", worst, limitWindow, allowed)
	least := limitUsed * limitRate * (limitLasts - limitContact).Seconds()
	assert.Check(t, float64(len(runs)) >= least, "%d requests in %v, %.1f are taken", len(runs), limitLasts-limitContact, least/limitUsed)
}

// checkRefusal checks that a request that was not served was refused soon, as not run, with
// when to come back.
func checkRefusal(t *testing.T, c *call) {
	t.Helper()
	if c.outcome == sandbarrow.OutcomeComplete {
		return
	}
	assert.Check(t, c.outcome == sandbarrow.OutcomeNotRun && c.problem.RetryAfterMS > 0 && c.took < limitRefusal,
		"%s %s after %v, again in %d ms", c.outcome, c.problem.Reason, c.took, c.problem.RetryAfterMS)
}
