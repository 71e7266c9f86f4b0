package systest

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/standin"
)

const (
	// noticeSettleTime is how long after a notice requests may still reach its upstream.
	// maxInFlightRefusals is how many requests may reach it during the rest of the backoff.
	noticeSettleTime    = 500 * time.Millisecond
	maxInFlightRefusals = 2
	// noticeBackoff is how long an upstream is in backoff.
	noticeBackoff = 3 * time.Second
	// noticeRecoveryTime is how soon an upstream receives requests after it accepts them again.
	noticeRecoveryTime = 2 * time.Second
	// retryAfterSpread is how much later than the end of the backoff the retry time in a response
	// may be.
	retryAfterSpread   = 1500 * time.Millisecond
	noticeSendInterval = 40 * time.Millisecond
)

func TestUpstreamBackoffIsObeyed(t *testing.T) {
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
			until := time.Now().Add(noticeBackoff)
			s.faults(upstreamURL, standin.Faults{Backoff: fmt.Sprint(noticeBackoff.Seconds())})
			time.Sleep(noticeSendInterval)
			first := s.start(callLike(template, "first", 0)).wait(t)
			assert.Assert(t, first.status != 200, "the upstream in backoff served the request")
			time.Sleep(noticeSettleTime)
			refused := s.upstreamLog(upstreamURL).Refused
			for i := 0; time.Until(until) > noticeSettleTime; i++ {
				c := s.start(callLike(template, fmt.Sprint(i), i%opts.entries)).wait(t)
				checkRefusal(t, c)
				early := time.Until(until) - time.Duration(c.problem.RetryAfterMS)*time.Millisecond
				assert.Check(t, early < noticeSendInterval && early > -retryAfterSpread-noticeSettleTime, "the retry time is %v before the end of the backoff", early)
				time.Sleep(noticeSendInterval)
			}
			refused = s.upstreamLog(upstreamURL).Refused - refused
			assert.Check(t, refused <= maxInFlightRefusals, "%d requests were sent during the backoff", refused)
			s.faults(upstreamURL, standin.Faults{})
			time.Sleep(time.Until(until.Add(noticeRecoveryTime)))
			assert.Equal(t, s.start(callLike(template, "after", 0)).wait(t).outcome, sandbarrow.OutcomeComplete)
		})
	}
}

func TestDrainingUpstreamGetsNoRequests(t *testing.T) {
	for name, template := range map[string]call{
		"engine": {adapter: adapter(1), tokens: 2},
		"stream": {adapter: adapter(1), tokens: 2, stream: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := startSystem(t, defaultOptions())
			draining, other := s.members[0].upstreamURL, s.members[1].upstreamURL
			calls := 0
			send := func(length time.Duration) (complete, total int) {
				var started []*call
				for began := time.Now(); time.Since(began) < length; time.Sleep(noticeSendInterval) {
					calls++
					started = append(started, s.start(callLike(template, fmt.Sprint(calls), 0)))
				}
				for _, c := range started {
					if c.wait(t).outcome == sandbarrow.OutcomeComplete {
						complete++
					}
				}
				return complete, len(started)
			}
			send(time.Second)
			if len(s.upstreamLog(draining).Runs) == 0 {
				draining, other = other, draining // the adapter was loaded on the other engine
			}
			s.faults(draining, standin.Faults{Draining: "1"})
			send(noticeSettleTime)
			before := len(s.upstreamLog(draining).Runs)
			complete, total := send(2 * time.Second)
			assert.Check(t, complete == total, "%d of %d served", complete, total)
			late := len(s.upstreamLog(draining).Runs) - before
			assert.Check(t, late == 0, "%d requests after the drain notice", late)

			s.faults(draining, standin.Faults{Restart: true})
			s.faults(draining, standin.Faults{})
			time.Sleep(noticeRecoveryTime)
			s.faults(other, standin.Faults{Draining: "1"})
			send(noticeSettleTime)
			complete, total = send(time.Second)
			assert.Check(t, complete == total, "%d of %d served by the restarted engine", complete, total)
		})
	}
}

func TestDrainingServiceRefusesAtOnce(t *testing.T) {
	s := startSystem(t, defaultOptions())
	upstreamURL := s.members[s.options.engines].upstreamURL
	template := call{service: true}
	s.faults(upstreamURL, standin.Faults{Draining: "1"})
	assert.Equal(t, s.start(callLike(template, "first", 0)).wait(t).outcome, sandbarrow.OutcomeComplete)
	time.Sleep(noticeSettleTime)
	before := len(s.upstreamLog(upstreamURL).Runs)
	for i := range 20 {
		c := s.start(callLike(template, fmt.Sprint(i), 0)).wait(t)
		assert.Check(t, c.outcome != sandbarrow.OutcomeComplete)
		checkRefusal(t, c)
	}
	late := len(s.upstreamLog(upstreamURL).Runs) - before
	assert.Check(t, late == 0, "%d requests after the drain notice", late)
}
