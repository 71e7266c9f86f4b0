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
	// limitRate is the named limit of the upstreams, in requests a second.
	limitRate = 1.4
	// limitSettleTime is how long after it is named a limit must hold. From then on, each limitWindow
	// may have limitTolerance times the limit and limitSlack further requests.
	limitSettleTime = 3 * time.Second
	limitWindow     = 4 * time.Second
	limitTolerance  = 1.5
	limitSlack      = 5
	// limitMinUse is the least fraction of its limit that an upstream must receive.
	limitMinUse = 0.7
	// maxRefusalTime is how soon a request that can't be served must be refused.
	maxRefusalTime = 500 * time.Millisecond
	// limitDuration is how long the callers send, limitSendInterval the time between two requests.
	limitDuration     = limitSettleTime + 2*limitWindow
	limitSendInterval = 40 * time.Millisecond
)

func TestUpstreamLimitHoldsAcrossEntries(t *testing.T) {
	for name, template := range map[string]call{
		"service": {service: true},
		"engine":  {adapter: adapter(1), tokens: 2},
		"stream":  {adapter: adapter(1), tokens: 2, stream: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			opts := defaultOptions()
			opts.engines, opts.entries = 1, 2
			s := startSystem(t, opts)
			upstreamURL := s.members[0].upstreamURL
			if template.service {
				upstreamURL = s.members[opts.engines].upstreamURL
			}
			assert.Equal(t, s.start(callLike(template, "before", 0)).wait(t).outcome, sandbarrow.OutcomeComplete)
			s.faults(upstreamURL, standin.Faults{Limit: fmt.Sprint(limitRate)})
			runs := recordRunStarts(t, s, upstreamURL)
			var calls []*call
			for began := time.Now(); time.Since(began) < limitDuration; time.Sleep(limitSendInterval) {
				calls = append(calls, s.start(callLike(template, fmt.Sprint(len(calls)), len(calls)%opts.entries)))
			}
			checkRunRate(t, runs())
			for _, c := range calls {
				checkRefusal(t, c.wait(t))
			}
			s.faults(upstreamURL, standin.Faults{})
			time.Sleep(2 * time.Second)
			var after []*call
			for i := range 10 {
				after = append(after, s.start(callLike(template, fmt.Sprint("after", i), i%opts.entries)))
				time.Sleep(limitSendInterval)
			}
			served := 0
			for _, c := range after {
				if c.wait(t).outcome == sandbarrow.OutcomeComplete {
					served++
				}
			}
			assert.Check(t, served >= 8, "%d of 10 served after the limit was removed", served)
		})
	}
}

// callLike returns a copy of a request with another prompt and entry.
func callLike(c call, content string, entry int) *call {
	c.content, c.entry = content, entry
	return &c
}

// recordRunStarts records when runs begin at an upstream until the returned function is called.
func recordRunStarts(t *testing.T, s *system, upstreamURL string) (finish func() []time.Time) {
	t.Helper()
	var times []time.Time
	seen := len(s.upstreamLog(upstreamURL).Runs)
	stop := make(chan struct{})
	var watching sync.WaitGroup
	watching.Go(func() {
		for {
			for n := len(s.upstreamLog(upstreamURL).Runs); seen < n; seen++ {
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

// checkRunRate checks that an upstream got no more requests than its limit allows, and not many fewer.
func checkRunRate(t *testing.T, runs []time.Time) {
	t.Helper()
	if !assert.Check(t, len(runs) > 0) {
		return
	}
	from := runs[0].Add(limitSettleTime)
	runs = slices.DeleteFunc(runs, func(at time.Time) bool { return at.Before(from) })
	busiest := 0
	for i, begin := range runs {
		n := 0
		for _, at := range runs[i:] {
			if at.Before(begin.Add(limitWindow)) {
				n++
			}
		}
		busiest = max(busiest, n)
	}
	allowed := limitTolerance*limitRate*limitWindow.Seconds() + limitSlack
	assert.Check(t, float64(busiest) <= allowed, "%d requests in %v, at most %.1f are allowed", busiest, limitWindow, allowed)
	least := limitMinUse * limitRate * (limitDuration - limitSettleTime).Seconds()
	assert.Check(t, float64(len(runs)) >= least, "%d requests in %v, the limit allows %.1f", len(runs), limitDuration-limitSettleTime, least/limitMinUse)
}

// checkRefusal checks that a request without a complete response was refused soon, with outcome
// not-run and a retry time.
func checkRefusal(t *testing.T, c *call) {
	t.Helper()
	if c.outcome == sandbarrow.OutcomeComplete {
		return
	}
	assert.Check(t, c.outcome == sandbarrow.OutcomeNotRun && c.problem.RetryAfterMS > 0 && c.duration < maxRefusalTime,
		"%s %s after %v, retry in %d ms", c.outcome, c.problem.Reason, c.duration, c.problem.RetryAfterMS)
}
