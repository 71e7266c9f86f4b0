package systest

import (
	"fmt"
	"strings"
	"sync"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/standin"
)

// checker compares what callers saw with what the upstreams did.
type checker struct {
	mu     sync.Mutex
	calls  []*call
	system *system
}

func newChecker(s *system) *checker {
	return &checker{system: s}
}

func (k *checker) add(c *call) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.calls = append(k.calls, c)
}

// verify waits for all calls and reports each broken promise.
func (k *checker) verify(versions ...string) {
	k.system.t.Helper()
	for _, c := range k.calls {
		c.wait(k.system.t)
	}
	logs := make([]standin.Log, len(k.system.members))
	for i, m := range k.system.members {
		logs[i] = k.system.log(m.backend)
	}
	for _, fault := range check(k.calls, logs, versions) {
		k.system.t.Error(fault)
	}
}

// check returns the broken promises, in words.
func check(calls []*call, logs []standin.Log, versions []string) []string {
	var faults []string
	report := func(format string, args ...any) { faults = append(faults, fmt.Sprintf(format, args...)) }
	runs := map[string][]standin.Run{} // by tag
	ids := map[string]bool{}           // request ids that ran
	for _, l := range logs {
		for _, r := range l.Runs {
			runs[r.Tag] = append(runs[r.Tag], r)
			id, _, _ := strings.Cut(r.Request, ".")
			ids[id] = true
		}
		for _, o := range l.Orders {
			if o.Unload && o.Running > 0 {
				report("%s was unloaded under %d running requests", o.Model, o.Running)
			}
		}
	}
	for _, c := range calls {
		for _, r := range runs[c.tag()] {
			if !c.service && !allowed(r.Model, string(c.adapter), versions) {
				report("%q ran on %s", c.content, r.Model)
			}
		}
		if (c.onceKey != "" || c.service) && len(runs[c.tag()]) > 1 {
			report("once-only %q ran %d times", c.content, len(runs[c.tag()]))
		}
		switch c.outcome {
		case sandbarrow.OutcomeComplete:
			faults = append(faults, checkWhole(c, runs[c.tag()])...)
		case sandbarrow.OutcomeNotRun:
			if ids[string(c.problem.RequestID)] {
				report("%q was told not-run (%s) but ran", c.content, c.problem.Detail)
			}
		case sandbarrow.OutcomeUnknown:
		default:
			report("%q has no final answer: status %d, error %v, body %.200q", c.content, c.status, c.err, c.body)
		}
	}
	return faults
}

func allowed(model, adapter string, versions []string) bool {
	for _, v := range versions {
		if model == adapter+"@"+v {
			return true
		}
	}
	return false
}

// checkWhole checks that an answer is the whole answer to its own request.
func checkWhole(c *call, runs []standin.Run) []string {
	var faults []string
	if len(runs) == 0 {
		faults = append(faults, fmt.Sprintf("%q was answered but never ran", c.content))
	}
	if !strings.Contains(c.body, c.tag()) {
		faults = append(faults, fmt.Sprintf("%q got another request's answer", c.content))
	}
	if c.service {
		return faults
	}
	if !strings.Contains(c.body, fmt.Sprintf("t%d", c.tokens-1)) {
		faults = append(faults, fmt.Sprintf("%q got a cut answer", c.content))
	}
	if c.stream && !strings.HasSuffix(c.body, "data: [DONE]\n\n") {
		faults = append(faults, fmt.Sprintf("%q got a stream without its end", c.content))
	}
	model := c.header.Get("Sandbarrow-Model")
	if model != "" && !strings.Contains(c.body, fmt.Sprintf("%q:%q", "model", model)) {
		faults = append(faults, fmt.Sprintf("%q was answered by another model than %s", c.content, model))
	}
	return faults
}
