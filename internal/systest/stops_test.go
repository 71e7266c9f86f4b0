package systest

import (
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/internal/await"
	"sandbarrow.example/sandbarrow/standin"
)

// drainLimit is the guaranteed time after which a draining upstream gets no new requests.
const drainLimit = 3 * time.Second

// sendContinuously sends requests until stop is called, which waits for them and returns them.
func (s *system) sendContinuously(pause time.Duration, next func(i int) *call) (stop func() []*call) {
	end := make(chan struct{})
	var calls []*call
	var wg sync.WaitGroup
	wg.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-end:
				return
			case <-time.After(pause):
				calls = append(calls, s.start(next(i)))
			}
		}
	})
	return func() []*call {
		close(end)
		wg.Wait()
		for _, c := range calls {
			c.wait(s.t)
		}
		return calls
	}
}

func streamCall(i int) *call {
	return &call{adapter: adapter(i % 4), content: fmt.Sprintf("driven %d", i), stream: true, tokens: 40}
}

func assertComplete(t *testing.T, calls []*call) {
	t.Helper()
	for _, c := range calls {
		assert.Equal(t, c.outcome, sandbarrow.OutcomeComplete, "%s: %d %v %s", c.content, c.status, c.err, c.body)
	}
}

func TestFaultMatrixDrain(t *testing.T) {
	for name, startDrain := range map[string]func(s *system, m *member){
		"list": func(s *system, m *member) {
			m.box.State = sandbarrow.BoxDraining
			s.publishBoxes()
		},
		"list-with-store-down": func(s *system, m *member) {
			s.faults(s.kv, standin.Faults{Down: true})
			m.box.State = sandbarrow.BoxDraining
			s.publishBoxes()
		},
		"signal-with-list-down": func(s *system, m *member) {
			s.faults(s.boxListURL, standin.Faults{Down: true})
			m.process.signal(s.t, syscall.SIGTERM)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := startSystem(t, defaultOptions())
			stop := s.sendContinuously(20*time.Millisecond, streamCall)
			time.Sleep(500 * time.Millisecond)
			m := s.members[0]
			startDrain(s, m)
			time.Sleep(drainLimit)
			before := len(s.upstreamLog(m.upstreamURL).Runs)
			time.Sleep(time.Second)
			assert.Equal(t, len(s.upstreamLog(m.upstreamURL).Runs), before, "the draining upstream got new requests")
			calls := stop()
			assert.Assert(t, before > 0 && len(calls) > 100, "%d runs, %d calls", before, len(calls))
			assertComplete(t, calls)
			s.checker.verify("v1")
		})
	}
}

func TestFaultMatrixPlannedStop(t *testing.T) {
	for _, storeDown := range []bool{false, true} {
		t.Run(fmt.Sprintf("agent/store-down-%t", storeDown), func(t *testing.T) {
			t.Parallel()
			s := startSystem(t, defaultOptions())
			s.faults(s.kv, standin.Faults{Down: storeDown})
			stop := s.sendContinuously(20*time.Millisecond, streamCall)
			time.Sleep(500 * time.Millisecond)
			s.members[0].process.signal(t, syscall.SIGTERM)
			s.members[0].process.waitExit(t, 10*time.Second)
			time.Sleep(300 * time.Millisecond)
			assertComplete(t, stop())
			s.checker.verify("v1")
		})
		t.Run(fmt.Sprintf("entry/store-down-%t", storeDown), func(t *testing.T) {
			t.Parallel()
			s := startSystem(t, defaultOptions())
			s.faults(s.kv, standin.Faults{Down: storeDown})
			var calls []*call
			for i := range 8 {
				c := streamCall(i)
				c.tokens = 300
				calls = append(calls, s.start(c))
			}
			for _, c := range calls {
				<-c.responseStarted
			}
			s.entries[0].signal(t, syscall.SIGTERM)
			calls = append(calls, s.start(streamCall(100))) // a load balancer may still send to the stopping entry
			for _, c := range calls {
				c.wait(t)
			}
			s.entries[0].waitExit(t, 10*time.Second)
			assertComplete(t, calls)
			s.checker.verify("v1")
		})
	}
}

func TestFaultMatrixUnload(t *testing.T) {
	for name, inject := range map[string]func(s *system, m *member){
		"nothing":        func(*system, *member) {},
		"agent-replaced": func(s *system, m *member) { m.process.signal(s.t, syscall.SIGKILL); s.startAgent(m) },
		"agent-frozen": func(s *system, m *member) {
			m.process.signal(s.t, syscall.SIGSTOP)
			time.Sleep(faultDuration)
			m.process.signal(s.t, syscall.SIGCONT)
		},
		"engine-restart": func(s *system, m *member) { s.faults(m.upstreamURL, standin.Faults{Restart: true}) },
		"store-down": func(s *system, _ *member) {
			s.faults(s.kv, standin.Faults{Down: true})
			time.Sleep(faultDuration)
			s.faults(s.kv, standin.Faults{})
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			opts := defaultOptions()
			opts.slots = 2
			s := startSystem(t, opts)
			stop := s.sendContinuously(15*time.Millisecond, func(i int) *call {
				c := streamCall(i)
				c.adapter = adapter(i * 5)
				if i%7 == 0 {
					c.deadline = 150 * time.Millisecond
				}
				return c
			})
			time.Sleep(time.Second)
			inject(s, s.members[0])
			time.Sleep(2 * time.Second)
			stop()
			s.checker.verify("v1")
			unloads := 0
			for _, m := range s.members {
				for _, o := range s.upstreamLog(m.upstreamURL).Orders {
					if o.Unload {
						unloads++
					}
				}
			}
			assert.Assert(t, unloads > 5, "only %d unloads", unloads)
		})
	}
}

func TestRequestsSurviveFrozenAgent(t *testing.T) {
	for _, key := range []string{"", "key"} {
		t.Run("idempotency-key="+key, func(t *testing.T) {
			t.Parallel()
			s := startSystem(t, defaultOptions())
			warm := s.start(&call{adapter: adapter(1), content: "warm", tokens: 5}).wait(t)
			assert.Equal(t, warm.outcome, sandbarrow.OutcomeComplete)
			frozen := s.memberThatRan(warm)
			frozen.process.signal(t, syscall.SIGSTOP)
			c := s.start(&call{adapter: adapter(1), content: "main", idempotencyKey: key, tokens: 5}).wait(t)
			frozen.process.signal(t, syscall.SIGCONT)
			time.Sleep(time.Second) // a delayed attempt would run now
			assert.Equal(t, c.outcome, sandbarrow.OutcomeComplete, c.body)
			assert.Assert(t, c.duration < 4*time.Second, "took %v", c.duration)
			s.checker.verify("v1")
		})
	}
}

func TestRequestToFrozenServiceIsNotRun(t *testing.T) {
	t.Parallel()
	s := startSystem(t, defaultOptions())
	s.start(&call{content: "warm", service: true}).wait(t)
	frozen := s.members[len(s.members)-1]
	frozen.process.signal(t, syscall.SIGSTOP)
	c := s.start(&call{content: "main", idempotencyKey: "key", service: true}).wait(t)
	frozen.process.signal(t, syscall.SIGCONT)
	time.Sleep(time.Second) // a delayed attempt would run now
	assert.Equal(t, c.outcome, sandbarrow.OutcomeNotRun, c.body)
	assert.Assert(t, c.problem.RetryAfterMS > 0)
	assert.Assert(t, c.duration < 4*time.Second, "took %v", c.duration)
	s.checker.verify("v1")
	again := s.start(&call{content: "main", idempotencyKey: "key", service: true})
	s.waitConnected(0, len(s.members))
	again.wait(t)
	s.waitServing(requestKinds[2])
	s.checker.verify("v1")
}

func TestRequestsResumeAfterEngineRestart(t *testing.T) {
	t.Parallel()
	opts := defaultOptions()
	opts.engines = 1
	s := startSystem(t, opts)
	assert.Equal(t, s.start(requestKinds[0].make("warm")).wait(t).outcome, sandbarrow.OutcomeComplete)
	s.faults(s.members[0].upstreamURL, standin.Faults{Restart: true})
	s.faults(s.members[0].upstreamURL, standin.Faults{})
	s.waitServing(requestKinds[0])
	s.checker.verify("v1")
}

func TestAtMostOnceIsRefusedWithoutStore(t *testing.T) {
	for name, f := range map[string]standin.Faults{"down": {Down: true}, "hangs": {DelayMS: 6_000}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := startSystem(t, defaultOptions())
			s.start(requestKinds[1].make("warm")).wait(t)
			s.faults(s.kv, f)
			c := s.start(requestKinds[1].make("main")).wait(t)
			assert.Equal(t, c.outcome, sandbarrow.OutcomeNotRun, c.body)
			assert.Assert(t, c.problem.RetryAfterMS > 0)
			assert.Assert(t, c.duration < 3*time.Second, "took %v", c.duration)
			s.faults(s.kv, standin.Faults{})
			s.checker.verify("v1")
		})
	}
}

func TestOverloadedSystemRefusesExcess(t *testing.T) {
	t.Parallel()
	s := startSystem(t, defaultOptions())
	stop := s.sendContinuously(3*time.Millisecond, func(i int) *call {
		c := streamCall(i)
		c.deadline = 2 * time.Second
		return c
	})
	time.Sleep(5 * time.Second)
	outcomes := map[sandbarrow.Outcome]int{}
	for _, c := range stop() {
		outcomes[c.outcome]++
		assert.Assert(t, c.outcome != sandbarrow.OutcomeNotRun || c.problem.RetryAfterMS > 0)
	}
	s.checker.verify("v1")
	t.Logf("%v", outcomes)
	assert.Assert(t, outcomes[sandbarrow.OutcomeUnknown] < outcomes[sandbarrow.OutcomeComplete]/10, "%v", outcomes)
	assert.Assert(t, outcomes[sandbarrow.OutcomeComplete] > 200 && outcomes[sandbarrow.OutcomeNotRun] > 200, "%v", outcomes)
}

func TestLoadsDuringStoreOutage(t *testing.T) {
	for _, checks := range []bool{true, false} {
		t.Run(fmt.Sprintf("checks-token-%t", checks), func(t *testing.T) {
			t.Parallel()
			opts := defaultOptions()
			opts.checksToken, opts.engines, opts.slots = checks, 1, 2
			s := startSystem(t, opts)
			request := func(i int, content string) *call {
				return s.start(&call{adapter: adapter(i), content: content, deadline: 4 * time.Second, tokens: 5}).wait(t)
			}
			for i := range 2 {
				assert.Equal(t, request(i, fmt.Sprint("warm ", i)).outcome, sandbarrow.OutcomeComplete)
			}
			s.faults(s.kv, standin.Faults{Down: true})
			time.Sleep(faultDuration)
			orders := len(s.upstreamLog(s.members[0].upstreamURL).Orders)
			cold := request(2, "cold")
			assert.Equal(t, request(0, "loaded").outcome == sandbarrow.OutcomeComplete, true)
			if checks {
				assert.Equal(t, cold.outcome, sandbarrow.OutcomeComplete, cold.body)
			} else {
				assert.Equal(t, cold.outcome, sandbarrow.OutcomeNotRun, cold.body)
				assert.Equal(t, len(s.upstreamLog(s.members[0].upstreamURL).Orders), orders, "an order was sent without a lease")
			}
			s.faults(s.kv, standin.Faults{})
			await.Until(t, 10*time.Second, "adapters load again", func() bool {
				return request(3, "after").outcome == sandbarrow.OutcomeComplete
			})
			s.checker.verify("v1")
		})
	}
}

func TestLostLoadReplyFreesSlot(t *testing.T) {
	t.Parallel()
	opts := defaultOptions()
	opts.engines, opts.slots = 1, 1
	s := startSystem(t, opts)
	s.faults(s.members[0].upstreamURL, standin.Faults{LoseReplies: 1})
	s.start(&call{adapter: adapter(1), content: "lost", tokens: 5}).wait(t)
	await.Until(t, 8*time.Second, "another adapter is loaded in the only slot", func() bool {
		c := s.start(&call{adapter: adapter(2), content: "main", deadline: 3 * time.Second, tokens: 5}).wait(t)
		return c.outcome == sandbarrow.OutcomeComplete
	})
	s.checker.verify("v1")
}

// TestMovedBoxIsReconnected replaces an agent's box by one with the same ID at another address.
func TestMovedBoxIsReconnected(t *testing.T) {
	t.Parallel()
	s := startSystem(t, defaultOptions())
	m := s.members[0]
	m.relay.setCut(true)
	await.Until(t, 5*time.Second, "the box is disconnected", func() bool {
		return metric(s.urls[0], "sandbarrow_agents_connected") == float64(len(s.members)-1)
	})
	m.box.Address = m.process.logField(t, "agent started", "rpc")
	s.publishBoxes()
	s.waitConnected(0, len(s.members))
	s.waitServing(requestKinds[0])
	s.checker.verify("v1")
}
