package systest

import (
	"fmt"
	"os"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/internal/await"
	"sandbarrow.example/sandbarrow/standin"
)

// matrixVariable is the environment variable that selects all cells when it is set.
const matrixVariable = "SANDBARROW_MATRIX"

// faultDuration is how long a fault lasts. It exceeds the time to live of a lease and the heartbeat
// timeout after which a peer is unreachable.
const faultDuration = 2500 * time.Millisecond

// requestKind is a kind of request in the fault matrix, with the steps at which faults are injected.
type requestKind struct {
	make  func(content string) *call
	name  string
	steps []string
}

var requestKinds = []requestKind{
	{
		name:  "retryable-stream",
		steps: []string{"dispatch", "queue", "load", "start", "mid-stream", "last-frame"},
		make: func(content string) *call {
			return &call{adapter: adapter(1), content: content, stream: true, tokens: 60}
		},
	},
	{
		name:  "at-most-once-adapter",
		steps: []string{"dispatch", "queue", "load", "claim", "start", "acknowledge"},
		make: func(content string) *call {
			return &call{adapter: adapter(1), content: content, idempotencyKey: content, tokens: 40}
		},
	},
	{
		name:  "at-most-once-service",
		steps: []string{"dispatch", "queue", "claim", "start", "acknowledge"},
		make: func(content string) *call {
			return &call{content: content, idempotencyKey: content, service: true}
		},
	},
}

// prepareStep holds, for each step, a function that brings a request to that step and returns it.
var prepareStep = map[string]func(s *system, k requestKind) *call{
	"dispatch": func(_ *system, k requestKind) *call {
		return k.make("main") // started after the fault
	},
	"queue": func(s *system, k requestKind) *call {
		for i := range 2 * s.options.maxRunning {
			s.start(k.make(fmt.Sprintf("blocker %d", i)))
		}
		s.waitGauge("sandbarrow_running")
		c := s.start(k.make("main"))
		s.waitGauge("sandbarrow_queued")
		return c
	},
	"load": func(s *system, k requestKind) *call {
		c := k.make("main")
		c.adapter = adapter(2) // not loaded yet
		s.start(c)
		s.waitGauge("sandbarrow_queued")
		return c
	},
	"claim": func(s *system, k requestKind) *call {
		s.faults(s.kv, standin.Faults{DelayMS: 150})
		c := s.start(k.make("main"))
		s.waitGauge("sandbarrow_running")
		return c
	},
	"start": func(s *system, k requestKind) *call {
		c := s.start(k.make("main"))
		s.waitStarted(c)
		return c
	},
	"mid-stream": func(s *system, k requestKind) *call {
		c := s.start(k.make("main"))
		select {
		case <-c.responseStarted:
		case <-c.done:
		}
		return c
	},
	"last-frame": func(s *system, k requestKind) *call {
		c := s.start(k.make("main"))
		s.waitStarted(c)
		time.Sleep(time.Duration(c.tokens-1) * s.options.tokenTime)
		return c
	},
	"acknowledge": func(s *system, k requestKind) *call {
		return s.start(k.make("main")).wait(s.t)
	},
}

// fault is one fault. inject injects it at a member and heal removes it.
type fault struct {
	inject, heal func(s *system, m *member)
	name         string
	// short faults also run without matrixVariable, as in CI.
	short bool
}

func storeFault(name string, short bool, f standin.Faults) fault {
	return fault{
		name: name, short: short,
		inject: func(s *system, _ *member) { s.faults(s.kv, f) },
		heal:   func(s *system, _ *member) { s.faults(s.kv, standin.Faults{}) },
	}
}

func engineFault(name string, short bool, f standin.Faults) fault {
	return fault{
		name: name, short: short,
		inject: func(s *system, m *member) { s.faults(m.upstreamURL, f) },
		heal:   func(s *system, m *member) { s.faults(m.upstreamURL, standin.Faults{}) },
	}
}

var faults = []fault{
	{
		name: "kill-agent", short: true,
		inject: func(s *system, m *member) { m.process.signal(s.t, syscall.SIGKILL) },
		heal:   func(s *system, m *member) { s.startAgent(m) },
	},
	{
		name: "freeze-agent", short: true,
		inject: func(s *system, m *member) { m.process.signal(s.t, syscall.SIGSTOP) },
		heal:   func(s *system, m *member) { m.process.signal(s.t, syscall.SIGCONT) },
	},
	{
		name: "connection-cut", short: true,
		inject: func(_ *system, m *member) { m.relay.setCut(true) },
		heal:   func(_ *system, m *member) { m.relay.setCut(false) },
	},
	{
		name:   "half-open-to-entry",
		inject: func(_ *system, m *member) { m.relay.freezeToEntry() },
		heal:   func(_ *system, m *member) { m.relay.setCut(true); m.relay.setCut(false) },
	},
	{
		name:   "half-open-to-agent",
		inject: func(_ *system, m *member) { m.relay.freezeToAgent() },
		heal:   func(_ *system, m *member) { m.relay.setCut(true); m.relay.setCut(false) },
	},
	{
		name:   "delay",
		inject: func(_ *system, m *member) { m.relay.setDelay(200 * time.Millisecond) },
		heal:   func(_ *system, m *member) { m.relay.setDelay(0) },
	},
	{
		name:   "box-list-down",
		inject: func(s *system, _ *member) { s.faults(s.boxListURL, standin.Faults{Down: true}) },
		heal:   func(s *system, _ *member) { s.faults(s.boxListURL, standin.Faults{}) },
	},
	engineFault("engine-restart", true, standin.Faults{Restart: true}),
	engineFault("engine-truncates", true, standin.Faults{Truncate: 2}),
	engineFault("engine-wrong-model", false, standin.Faults{WrongModel: 1}),
	engineFault("load-fails", true, standin.Faults{FailLoads: 1}),
	engineFault("load-hangs", false, standin.Faults{HangLoads: 1}),
	storeFault("store-down", true, standin.Faults{Down: true}),
	storeFault("store-slow", false, standin.Faults{DelayMS: 700}),
	storeFault("store-replies-lost", true, standin.Faults{LoseReplies: 2}),
}

// overlapping combines two faults: the second is injected during the first.
func overlapping(a, b fault) fault {
	return fault{
		name:   a.name + "+" + b.name,
		inject: func(s *system, m *member) { a.inject(s, m); b.inject(s, m) },
		heal:   func(s *system, m *member) { b.heal(s, m); a.heal(s, m) },
	}
}

// repeated injects a fault, removes it and injects it again.
func repeated(f fault) fault {
	return fault{
		name: f.name + "+again",
		inject: func(s *system, m *member) {
			f.inject(s, m)
			time.Sleep(faultDuration / 2)
			f.heal(s, m)
			f.inject(s, m)
		},
		heal: f.heal,
	}
}

func matrixFaults() []fault {
	all := faults
	if os.Getenv(matrixVariable) == "" {
		return all
	}
	for _, f := range faults {
		all = append(all, repeated(f))
		if f.name != "store-down" && f.name != "store-slow" && f.name != "store-replies-lost" {
			all = append(all, overlapping(faults[storeDownIndex()], f))
		}
	}
	return all
}

func storeDownIndex() int {
	for i, f := range faults {
		if f.name == "store-down" {
			return i
		}
	}
	panic("no such fault")
}

// skipReason returns why a cell does not apply, or "".
func skipReason(k requestKind, _ string, f fault) string {
	if k.name == "at-most-once-service" && (f.name == "load-fails" || f.name == "load-hangs" || f.name == "engine-wrong-model" || f.name == "engine-truncates" || f.name == "engine-restart") {
		return "a plain service has no adapters and is not an engine"
	}
	return ""
}

func TestFaultMatrix(t *testing.T) {
	full := os.Getenv(matrixVariable) != ""
	for _, k := range requestKinds {
		t.Run(k.name, func(t *testing.T) {
			for _, step := range k.steps {
				t.Run(step, func(t *testing.T) {
					for _, f := range matrixFaults() {
						if !full && !f.short || testing.Short() || skipReason(k, step, f) != "" {
							continue
						}
						t.Run(f.name, func(t *testing.T) {
							t.Parallel()
							runCell(t, k, step, f)
						})
					}
				})
			}
		})
	}
}

func runCell(t *testing.T, k requestKind, step string, f fault) {
	opts := defaultOptions()
	opts.loadTime, opts.maxRunning, opts.serviceTime = 150*time.Millisecond, 2, 150*time.Millisecond
	s := startSystem(t, opts)
	warm := s.start(k.make("warm")).wait(t)
	assert.Equal(t, warm.outcome, sandbarrow.OutcomeComplete, warm.body)
	target := s.memberThatRan(warm)
	c := prepareStep[step](s, k)
	if step == "load" {
		target = s.memberWithGauge("sandbarrow_queued")
	}
	f.inject(s, target)
	if step == "dispatch" {
		s.start(c)
	}
	time.Sleep(faultDuration)
	f.heal(s, target)
	s.faults(s.kv, standin.Faults{})
	c.wait(t)
	// A caller without a complete response retries its request.
	if c.outcome != sandbarrow.OutcomeComplete || step == "acknowledge" {
		again := k.make("main")
		again.adapter = c.adapter
		s.start(again).wait(t)
	}
	s.waitServing(k)
	s.checker.verify("v1")
}

// waitServing waits until new requests get complete responses again.
func (s *system) waitServing(k requestKind) {
	s.t.Helper()
	n := 0
	await.Until(s.t, 10*time.Second, "complete responses again", func() bool {
		n++
		return s.start(k.make(fmt.Sprintf("after %d", n))).wait(s.t).outcome == sandbarrow.OutcomeComplete
	})
}

// memberThatRan returns the member whose upstream ran a call, or nil.
func (s *system) memberThatRan(c *call) *member {
	for _, m := range s.members {
		for _, r := range s.upstreamLog(m.upstreamURL).Runs {
			if r.Tag == c.tag() {
				return m
			}
		}
	}
	return nil
}

// waitStarted waits until a call runs at an upstream.
func (s *system) waitStarted(c *call) {
	s.t.Helper()
	await.Until(s.t, 5*time.Second, "run started", func() bool { return s.memberThatRan(c) != nil })
}

// memberWithGauge returns a member whose gauge is above zero, or nil.
func (s *system) memberWithGauge(gauge string) *member {
	for _, m := range s.members {
		if metric(m.metricsURL(s.t), gauge) > 0 {
			return m
		}
	}
	return nil
}

func (s *system) waitGauge(gauge string) {
	s.t.Helper()
	await.Until(s.t, 5*time.Second, gauge, func() bool { return s.memberWithGauge(gauge) != nil })
}

// metricsURL returns the base URL of the metrics of a member's agent.
func (m *member) metricsURL(t testing.TB) string {
	return "http://" + m.process.logField(t, "agent started", "http")
}
