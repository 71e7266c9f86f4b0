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

// leaveLimit is the promise: a leaving upstream gets no new work after it.
const leaveLimit = 3 * time.Second

// drive sends requests until stopped and returns them.
func (s *system) drive(pause time.Duration, next func(i int) *call) (stop func() []*call) {
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

func streamOf(i int) *call {
	return &call{adapter: adapter(i % 4), content: fmt.Sprintf("driven %d", i), stream: true, tokens: 40}
}

func wholeCalls(t *testing.T, calls []*call) {
	t.Helper()
	for _, c := range calls {
		assert.Equal(t, c.outcome, sandbarrow.OutcomeComplete, "%s: %d %v %s", c.content, c.status, c.err, c.body)
	}
}

func TestFaultMatrixLeave(t *testing.T) {
	for name, announce := range map[string]func(s *system, m *member){
		"list": func(s *system, m *member) {
			m.box.State = sandbarrow.BoxDraining
			s.publish()
		},
		"list-with-store-down": func(s *system, m *member) {
			s.faults(s.kv, standin.Faults{Down: true})
			m.box.State = sandbarrow.BoxDraining
			s.publish()
		},
		"signal-with-list-down": func(s *system, m *member) {
			s.faults(s.list, standin.Faults{Down: true})
			m.process.signal(s.t, syscall.SIGTERM)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := startSystem(t, defaultShape())
			stop := s.drive(20*time.Millisecond, streamOf)
			time.Sleep(500 * time.Millisecond)
			m := s.members[0]
			announce(s, m)
			time.Sleep(leaveLimit)
			before := len(s.log(m.backend).Runs)
			time.Sleep(time.Second)
			assert.Equal(t, len(s.log(m.backend).Runs), before, "the leaving upstream got new work")
			calls := stop()
			assert.Assert(t, before > 0 && len(calls) > 100, "%d runs, %d calls", before, len(calls))
			wholeCalls(t, calls)
			s.checker.verify("v1")
		})
	}
}

func TestFaultMatrixPlannedStop(t *testing.T) {
	for _, storeDown := range []bool{false, true} {
		t.Run(fmt.Sprintf("agent/store-down-%t", storeDown), func(t *testing.T) {
			t.Parallel()
			s := startSystem(t, defaultShape())
			s.faults(s.kv, standin.Faults{Down: storeDown})
			stop := s.drive(20*time.Millisecond, streamOf)
			time.Sleep(500 * time.Millisecond)
			s.members[0].process.signal(t, syscall.SIGTERM)
			s.members[0].process.exits(t, 10*time.Second)
			time.Sleep(300 * time.Millisecond)
			wholeCalls(t, stop())
			s.checker.verify("v1")
		})
		t.Run(fmt.Sprintf("entry/store-down-%t", storeDown), func(t *testing.T) {
			t.Parallel()
			s := startSystem(t, defaultShape())
			s.faults(s.kv, standin.Faults{Down: storeDown})
			var calls []*call
			for i := range 8 {
				c := streamOf(i)
				c.tokens = 300
				calls = append(calls, s.start(c))
			}
			for _, c := range calls {
				<-c.began
			}
			s.entries[0].signal(t, syscall.SIGTERM)
			calls = append(calls, s.start(streamOf(100))) // the balancer has not seen it yet
			for _, c := range calls {
				c.wait(t)
			}
			s.entries[0].exits(t, 10*time.Second)
			wholeCalls(t, calls)
			s.checker.verify("v1")
		})
	}
}

func TestFaultMatrixUnload(t *testing.T) {
	for name, disturb := range map[string]func(s *system, m *member){
		"nothing":        func(*system, *member) {},
		"agent-replaced": func(s *system, m *member) { m.process.signal(s.t, syscall.SIGKILL); s.startAgent(m) },
		"agent-frozen": func(s *system, m *member) {
			m.process.signal(s.t, syscall.SIGSTOP)
			time.Sleep(outage)
			m.process.signal(s.t, syscall.SIGCONT)
		},
		"engine-restart": func(s *system, m *member) { s.faults(m.backend, standin.Faults{Restart: true}) },
		"store-down": func(s *system, _ *member) {
			s.faults(s.kv, standin.Faults{Down: true})
			time.Sleep(outage)
			s.faults(s.kv, standin.Faults{})
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			sh := defaultShape()
			sh.slots = 2
			s := startSystem(t, sh)
			stop := s.drive(15*time.Millisecond, func(i int) *call {
				c := streamOf(i)
				c.adapter = adapter(i * 5)
				if i%7 == 0 {
					c.deadline = 150 * time.Millisecond
				}
				return c
			})
			time.Sleep(time.Second)
			disturb(s, s.members[0])
			time.Sleep(2 * time.Second)
			stop()
			s.checker.verify("v1")
			unloads := 0
			for _, m := range s.members {
				for _, o := range s.log(m.backend).Orders {
					if o.Unload {
						unloads++
					}
				}
			}
			assert.Assert(t, unloads > 5, "only %d unloads", unloads)
		})
	}
}

func TestFrozenAgent(t *testing.T) {
	for _, once := range []string{"", "key"} {
		t.Run("once="+once, func(t *testing.T) {
			t.Parallel()
			s := startSystem(t, defaultShape())
			warm := s.start(&call{adapter: adapter(1), content: "warm", tokens: 5}).wait(t)
			assert.Equal(t, warm.outcome, sandbarrow.OutcomeComplete)
			frozen := s.runner(warm)
			frozen.process.signal(t, syscall.SIGSTOP)
			c := s.start(&call{adapter: adapter(1), content: "main", onceKey: once, tokens: 5}).wait(t)
			frozen.process.signal(t, syscall.SIGCONT)
			time.Sleep(time.Second) // a late copy would run now
			assert.Equal(t, c.outcome, sandbarrow.OutcomeComplete, c.body)
			assert.Assert(t, c.took < 4*time.Second, "took %v", c.took)
			s.checker.verify("v1")
		})
	}
}

func TestFrozenService(t *testing.T) {
	t.Parallel()
	s := startSystem(t, defaultShape())
	s.start(&call{content: "warm", service: true}).wait(t)
	frozen := s.members[len(s.members)-1]
	frozen.process.signal(t, syscall.SIGSTOP)
	c := s.start(&call{content: "main", onceKey: "key", service: true}).wait(t)
	frozen.process.signal(t, syscall.SIGCONT)
	time.Sleep(time.Second) // a late copy would run now
	assert.Equal(t, c.outcome, sandbarrow.OutcomeNotRun, c.body)
	assert.Assert(t, c.problem.RetryAfterMS > 0)
	assert.Assert(t, c.took < 4*time.Second, "took %v", c.took)
	s.checker.verify("v1")
	again := s.start(&call{content: "main", onceKey: "key", service: true})
	s.waitConnected(0, len(s.members))
	again.wait(t)
	s.normal(kinds[2])
	s.checker.verify("v1")
}

func TestEngineRestart(t *testing.T) {
	t.Parallel()
	sh := defaultShape()
	sh.engines = 1
	s := startSystem(t, sh)
	assert.Equal(t, s.start(kinds[0].make("warm")).wait(t).outcome, sandbarrow.OutcomeComplete)
	s.faults(s.members[0].backend, standin.Faults{Restart: true})
	s.faults(s.members[0].backend, standin.Faults{})
	s.normal(kinds[0])
	s.checker.verify("v1")
}

func TestOnceWithoutStore(t *testing.T) {
	for name, f := range map[string]standin.Faults{"down": {Down: true}, "hangs": {DelayMS: 6_000}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := startSystem(t, defaultShape())
			s.start(kinds[1].make("warm")).wait(t)
			s.faults(s.kv, f)
			c := s.start(kinds[1].make("main")).wait(t)
			assert.Equal(t, c.outcome, sandbarrow.OutcomeNotRun, c.body)
			assert.Assert(t, c.problem.RetryAfterMS > 0)
			assert.Assert(t, c.took < 3*time.Second, "took %v", c.took)
			s.faults(s.kv, standin.Faults{})
			s.checker.verify("v1")
		})
	}
}

func TestOverload(t *testing.T) {
	t.Parallel()
	s := startSystem(t, defaultShape())
	stop := s.drive(3*time.Millisecond, func(i int) *call {
		c := streamOf(i)
		c.deadline = 2 * time.Second
		return c
	})
	time.Sleep(5 * time.Second)
	seen := map[sandbarrow.Outcome]int{}
	for _, c := range stop() {
		seen[c.outcome]++
		assert.Assert(t, c.outcome != sandbarrow.OutcomeNotRun || c.problem.RetryAfterMS > 0)
	}
	s.checker.verify("v1")
	t.Logf("%v", seen)
	assert.Assert(t, seen[sandbarrow.OutcomeUnknown] < seen[sandbarrow.OutcomeComplete]/10, "%v", seen)
	assert.Assert(t, seen[sandbarrow.OutcomeComplete] > 200 && seen[sandbarrow.OutcomeNotRun] > 200, "%v", seen)
}

func TestOrdersInOutage(t *testing.T) {
	for _, checks := range []bool{true, false} {
		t.Run(fmt.Sprintf("checks-token-%t", checks), func(t *testing.T) {
			t.Parallel()
			sh := defaultShape()
			sh.checksToken, sh.engines, sh.slots = checks, 1, 2
			s := startSystem(t, sh)
			ask := func(i int, content string) *call {
				return s.start(&call{adapter: adapter(i), content: content, deadline: 4 * time.Second, tokens: 5}).wait(t)
			}
			for i := range 2 {
				assert.Equal(t, ask(i, fmt.Sprint("warm ", i)).outcome, sandbarrow.OutcomeComplete)
			}
			s.faults(s.kv, standin.Faults{Down: true})
			time.Sleep(outage)
			orders := len(s.log(s.members[0].backend).Orders)
			cold := ask(2, "cold")
			assert.Equal(t, ask(0, "loaded").outcome == sandbarrow.OutcomeComplete, true)
			if checks {
				assert.Equal(t, cold.outcome, sandbarrow.OutcomeComplete, cold.body)
			} else {
				assert.Equal(t, cold.outcome, sandbarrow.OutcomeNotRun, cold.body)
				assert.Equal(t, len(s.log(s.members[0].backend).Orders), orders, "an order without a lease")
			}
			s.faults(s.kv, standin.Faults{})
			await.Until(t, 10*time.Second, "a cold adapter is loaded again", func() bool {
				return ask(3, "after").outcome == sandbarrow.OutcomeComplete
			})
			s.checker.verify("v1")
		})
	}
}

func TestLostLoadReply(t *testing.T) {
	t.Parallel()
	sh := defaultShape()
	sh.engines, sh.slots = 1, 1
	s := startSystem(t, sh)
	s.faults(s.members[0].backend, standin.Faults{LoseReplies: 1})
	s.start(&call{adapter: adapter(1), content: "lost", tokens: 5}).wait(t)
	await.Until(t, 8*time.Second, "another adapter gets the slot", func() bool {
		c := s.start(&call{adapter: adapter(2), content: "main", deadline: 3 * time.Second, tokens: 5}).wait(t)
		return c.outcome == sandbarrow.OutcomeComplete
	})
	s.checker.verify("v1")
}

// TestBoxMoves replaces an agent's box by one of the same name at another address.
func TestBoxMoves(t *testing.T) {
	t.Parallel()
	s := startSystem(t, defaultShape())
	m := s.members[0]
	m.relay.setCut(true)
	await.Until(t, 5*time.Second, "the old box is missed", func() bool {
		return metric(s.urls[0], "sandbarrow_agents_connected") == float64(len(s.members)-1)
	})
	m.box.Address = m.process.field(t, "agent started", "rpc")
	s.publish()
	s.waitConnected(0, len(s.members))
	s.normal(kinds[0])
	s.checker.verify("v1")
}
