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

// fullMatrix is the environment variable that asks for all cells.
const fullMatrix = "SANDBARROW_MATRIX"

// outage is how long a fault lasts: longer than the lease and than the silence
// after which a peer counts as gone.
const outage = 2500 * time.Millisecond

// kind is a kind of request that the matrix drives.
type kind struct {
	make  func(content string) *call
	name  string
	steps []string
}

var kinds = []kind{
	{
		name:  "whole-answer",
		steps: []string{"dispatch", "queue", "load", "start", "mid-stream", "last-frame"},
		make: func(content string) *call {
			return &call{adapter: adapter(1), content: content, stream: true, tokens: 60}
		},
	},
	{
		name:  "once-adapter",
		steps: []string{"dispatch", "queue", "load", "claim", "start", "acknowledge"},
		make: func(content string) *call {
			return &call{adapter: adapter(1), content: content, onceKey: content, tokens: 40}
		},
	},
	{
		name:  "once-service",
		steps: []string{"dispatch", "queue", "claim", "start", "acknowledge"},
		make: func(content string) *call {
			return &call{content: content, onceKey: content, service: true}
		},
	},
}

// steps bring a request to a step and return it.
var steps = map[string]func(s *system, k kind) *call{
	"dispatch": func(_ *system, k kind) *call {
		return k.make("main") // started after the fault
	},
	"queue": func(s *system, k kind) *call {
		for i := range 2 * s.shape.maxRunning {
			s.start(k.make(fmt.Sprintf("blocker %d", i)))
		}
		s.waitBusy("sandbarrow_running")
		c := s.start(k.make("main"))
		s.waitBusy("sandbarrow_queued")
		return c
	},
	"load": func(s *system, k kind) *call {
		c := k.make("main")
		c.adapter = adapter(2) // not loaded yet
		s.start(c)
		s.waitBusy("sandbarrow_queued")
		return c
	},
	"claim": func(s *system, k kind) *call {
		s.faults(s.kv, standin.Faults{DelayMS: 150})
		c := s.start(k.make("main"))
		s.waitBusy("sandbarrow_running")
		return c
	},
	"start": func(s *system, k kind) *call {
		c := s.start(k.make("main"))
		s.waitRun(c)
		return c
	},
	"mid-stream": func(s *system, k kind) *call {
		c := s.start(k.make("main"))
		select {
		case <-c.began:
		case <-c.done:
		}
		return c
	},
	"last-frame": func(s *system, k kind) *call {
		c := s.start(k.make("main"))
		s.waitRun(c)
		time.Sleep(time.Duration(c.tokens-1) * s.shape.step)
		return c
	},
	"acknowledge": func(s *system, k kind) *call {
		return s.start(k.make("main")).wait(s.t)
	},
}

// fault is one fault; begin injects it at a member and end heals it.
type fault struct {
	begin, end func(s *system, m *member)
	name       string
	// short cells run in CI too.
	short bool
}

func platformFault(name string, short bool, f standin.Faults) fault {
	return fault{
		name: name, short: short,
		begin: func(s *system, _ *member) { s.faults(s.kv, f) },
		end:   func(s *system, _ *member) { s.faults(s.kv, standin.Faults{}) },
	}
}

func engineFault(name string, short bool, f standin.Faults) fault {
	return fault{
		name: name, short: short,
		begin: func(s *system, m *member) { s.faults(m.backend, f) },
		end:   func(s *system, m *member) { s.faults(m.backend, standin.Faults{}) },
	}
}

var faults = []fault{
	{
		name: "kill-agent", short: true,
		begin: func(s *system, m *member) { m.process.signal(s.t, syscall.SIGKILL) },
		end:   func(s *system, m *member) { s.startAgent(m) },
	},
	{
		name: "freeze-agent", short: true,
		begin: func(s *system, m *member) { m.process.signal(s.t, syscall.SIGSTOP) },
		end:   func(s *system, m *member) { m.process.signal(s.t, syscall.SIGCONT) },
	},
	{
		name: "cut", short: true,
		begin: func(_ *system, m *member) { m.relay.setCut(true) },
		end:   func(_ *system, m *member) { m.relay.setCut(false) },
	},
	{
		name:  "half-open-to-entry",
		begin: func(_ *system, m *member) { m.relay.freezeDown() },
		end:   func(_ *system, m *member) { m.relay.setCut(true); m.relay.setCut(false) },
	},
	{
		name:  "half-open-to-agent",
		begin: func(_ *system, m *member) { m.relay.freezeUp() },
		end:   func(_ *system, m *member) { m.relay.setCut(true); m.relay.setCut(false) },
	},
	{
		name:  "delay",
		begin: func(_ *system, m *member) { m.relay.setDelay(200 * time.Millisecond) },
		end:   func(_ *system, m *member) { m.relay.setDelay(0) },
	},
	{
		name:  "list-down",
		begin: func(s *system, _ *member) { s.faults(s.list, standin.Faults{Down: true}) },
		end:   func(s *system, _ *member) { s.faults(s.list, standin.Faults{}) },
	},
	engineFault("engine-restart", true, standin.Faults{Restart: true}),
	engineFault("engine-truncates", true, standin.Faults{Truncate: 2}),
	engineFault("engine-wrong-model", false, standin.Faults{WrongModel: 1}),
	engineFault("load-fails", true, standin.Faults{FailLoads: 1}),
	engineFault("load-hangs", false, standin.Faults{HangLoads: 1}),
	platformFault("store-down", true, standin.Faults{Down: true}),
	platformFault("store-slow", false, standin.Faults{DelayMS: 700}),
	platformFault("store-answers-lost", true, standin.Faults{LoseReplies: 2}),
}

// pairs of faults: the second comes while the first lasts.
func pair(a, b fault) fault {
	return fault{
		name:  a.name + "+" + b.name,
		begin: func(s *system, m *member) { a.begin(s, m); b.begin(s, m) },
		end:   func(s *system, m *member) { b.end(s, m); a.end(s, m) },
	}
}

// twice repeats a fault.
func twice(f fault) fault {
	return fault{
		name:  f.name + "+again",
		begin: func(s *system, m *member) { f.begin(s, m); time.Sleep(outage / 2); f.end(s, m); f.begin(s, m) },
		end:   f.end,
	}
}

func allFaults() []fault {
	all := faults
	if os.Getenv(fullMatrix) == "" {
		return all
	}
	for _, f := range faults {
		all = append(all, twice(f))
		if f.name != "store-down" && f.name != "store-slow" && f.name != "store-answers-lost" {
			all = append(all, pair(faults[storeDown()], f))
		}
	}
	return all
}

func storeDown() int {
	for i, f := range faults {
		if f.name == "store-down" {
			return i
		}
	}
	panic("no such fault")
}

// applies says why a cell does not apply, or returns "".
func applies(k kind, _ string, f fault) string {
	if k.name == "once-service" && (f.name == "load-fails" || f.name == "load-hangs" || f.name == "engine-wrong-model" || f.name == "engine-truncates" || f.name == "engine-restart") {
		return "a plain service has no adapters and is not an engine"
	}
	return ""
}

func TestFaultMatrix(t *testing.T) {
	full := os.Getenv(fullMatrix) != ""
	for _, k := range kinds {
		t.Run(k.name, func(t *testing.T) {
			for _, step := range k.steps {
				t.Run(step, func(t *testing.T) {
					for _, f := range allFaults() {
						if !full && !f.short || testing.Short() || applies(k, step, f) != "" {
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

func runCell(t *testing.T, k kind, step string, f fault) {
	sh := defaultShape()
	sh.loadTime, sh.maxRunning, sh.work = 150*time.Millisecond, 2, 150*time.Millisecond
	s := startSystem(t, sh)
	warm := s.start(k.make("warm")).wait(t)
	assert.Equal(t, warm.outcome, sandbarrow.OutcomeComplete, warm.body)
	target := s.runner(warm)
	c := steps[step](s, k)
	if step == "load" {
		target = s.busy("sandbarrow_queued")
	}
	f.begin(s, target)
	if step == "dispatch" {
		s.start(c)
	}
	time.Sleep(outage)
	f.end(s, target)
	s.faults(s.kv, standin.Faults{})
	c.wait(t)
	// A caller that was left without a whole answer sends its request again.
	if c.outcome != sandbarrow.OutcomeComplete || step == "acknowledge" {
		again := k.make("main")
		again.adapter = c.adapter
		s.start(again).wait(t)
	}
	s.normal(k)
	s.checker.verify("v1")
}

// normal waits until new requests get whole answers again.
func (s *system) normal(k kind) {
	s.t.Helper()
	n := 0
	await.Until(s.t, 10*time.Second, "whole answers again", func() bool {
		n++
		return s.start(k.make(fmt.Sprintf("after %d", n))).wait(s.t).outcome == sandbarrow.OutcomeComplete
	})
}

// runner returns the member that ran a call.
func (s *system) runner(c *call) *member {
	for _, m := range s.members {
		for _, r := range s.log(m.backend).Runs {
			if r.Tag == c.tag() {
				return m
			}
		}
	}
	return nil
}

// waitRun waits until a call has started at an upstream.
func (s *system) waitRun(c *call) {
	s.t.Helper()
	await.Until(s.t, 5*time.Second, "run started", func() bool { return s.runner(c) != nil })
}

// busy returns a member whose gauge is above zero.
func (s *system) busy(gauge string) *member {
	for _, m := range s.members {
		if metric(m.url(s.t), gauge) > 0 {
			return m
		}
	}
	return nil
}

func (s *system) waitBusy(gauge string) {
	s.t.Helper()
	await.Until(s.t, 5*time.Second, gauge, func() bool { return s.busy(gauge) != nil })
}

// url is where a member's agent serves its metrics.
func (m *member) url(t testing.TB) string {
	return "http://" + m.process.field(t, "agent started", "http")
}
