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
	// announceSettled is how long after an announcement requests may still reach its upstream,
	// announceOnTheWay how many after a refusal.
	announceSettled  = 500 * time.Millisecond
	announceOnTheWay = 2
	// announceBackoff is for how long an upstream wants no requests.
	announceBackoff = 3 * time.Second
	// announceBack is how soon an upstream has its work back that accepts requests again.
	announceBack = 2 * time.Second
	// announceSpread is how much later than the upstream accepts requests callers may be told to
	// come back.
	announceSpread = 1500 * time.Millisecond
	announcePause  = 40 * time.Millisecond
)

func TestUpstreamBackoffIsObeyed(t *testing.T) {
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
			until := time.Now().Add(announceBackoff)
			s.faults(backend, standin.Faults{Backoff: fmt.Sprint(announceBackoff.Seconds())})
			time.Sleep(announcePause)
			first := s.start(copyOf(one, "first", 0)).wait(t)
			assert.Assert(t, first.status != 200, "it was refused")
			time.Sleep(announceSettled)
			refused := s.log(backend).Refused
			for i := 0; time.Until(until) > announceSettled; i++ {
				c := s.start(copyOf(one, fmt.Sprint(i), i%sh.entries)).wait(t)
				checkRefusal(t, c)
				again := time.Until(until) - time.Duration(c.problem.RetryAfterMS)*time.Millisecond
				assert.Check(t, again < announcePause && again > -announceSpread-announceSettled, "told to come back %v early", again)
				time.Sleep(announcePause)
			}
			refused = s.log(backend).Refused - refused
			assert.Check(t, refused <= announceOnTheWay, "%d requests while it wanted none", refused)
			s.faults(backend, standin.Faults{})
			time.Sleep(time.Until(until.Add(announceBack)))
			assert.Equal(t, s.start(copyOf(one, "after", 0)).wait(t).outcome, sandbarrow.OutcomeComplete)
		})
	}
}

func TestDrainingUpstreamGetsNoRequests(t *testing.T) {
	for name, one := range map[string]call{
		"engine": {adapter: adapter(1), tokens: 2},
		"stream": {adapter: adapter(1), tokens: 2, stream: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := startSystem(t, defaultShape())
			drains, other := s.members[0].backend, s.members[1].backend
			calls := 0
			send := func(lasts time.Duration) (whole, all int) {
				var started []*call
				for began := time.Now(); time.Since(began) < lasts; time.Sleep(announcePause) {
					calls++
					started = append(started, s.start(copyOf(one, fmt.Sprint(calls), 0)))
				}
				for _, c := range started {
					if c.wait(t).outcome == sandbarrow.OutcomeComplete {
						whole++
					}
				}
				return whole, len(started)
			}
			send(time.Second)
			if len(s.log(drains).Runs) == 0 {
				drains, other = other, drains // the adapter was placed there
			}
			s.faults(drains, standin.Faults{Draining: "1"})
			send(announceSettled)
			before := len(s.log(drains).Runs)
			whole, all := send(2 * time.Second)
			assert.Check(t, whole == all, "%d of %d served", whole, all)
			late := len(s.log(drains).Runs) - before
			assert.Check(t, late == 0, "%d requests after it had announced that it drains", late)

			s.faults(drains, standin.Faults{Restart: true})
			s.faults(drains, standin.Faults{})
			time.Sleep(announceBack)
			s.faults(other, standin.Faults{Draining: "1"})
			send(announceSettled)
			whole, all = send(time.Second)
			assert.Check(t, whole == all, "%d of %d served by the one that has started again", whole, all)
		})
	}
}

func TestDrainingServiceRefusesAtOnce(t *testing.T) {
	s := startSystem(t, defaultShape())
	backend := s.members[s.shape.engines].backend
	one := call{service: true}
	s.faults(backend, standin.Faults{Draining: "1"})
	assert.Equal(t, s.start(copyOf(one, "first", 0)).wait(t).outcome, sandbarrow.OutcomeComplete)
	time.Sleep(announceSettled)
	before := len(s.log(backend).Runs)
	for i := range 20 {
		c := s.start(copyOf(one, fmt.Sprint(i), 0)).wait(t)
		assert.Check(t, c.outcome != sandbarrow.OutcomeComplete)
		checkRefusal(t, c)
	}
	late := len(s.log(backend).Runs) - before
	assert.Check(t, late == 0, "%d requests after it had announced that it drains", late)
}
