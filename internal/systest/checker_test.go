package systest

import (
	"fmt"
	"strings"
	"sync"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/standin"
)

// checker compares the responses to callers with the requests that the upstreams ran.
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

// verify waits for all calls and reports each violated guarantee.
func (k *checker) verify(versions ...string) {
	k.system.t.Helper()
	for _, c := range k.calls {
		c.wait(k.system.t)
	}
	logs := make([]standin.Log, len(k.system.members))
	for i, m := range k.system.members {
		logs[i] = k.system.upstreamLog(m.upstreamURL)
	}
	for _, violation := range findViolations(k.calls, logs, versions) {
		k.system.t.Error(violation)
	}
}

// findViolations describes each violated guarantee.
func findViolations(calls []*call, logs []standin.Log, versions []string) []string {
	var violations []string
	report := func(format string, args ...any) { violations = append(violations, fmt.Sprintf(format, args...)) }
	runs := map[string][]standin.Run{} // by tag
	ids := map[string]bool{}           // request IDs that ran
	for _, l := range logs {
		for _, r := range l.Runs {
			runs[r.Tag] = append(runs[r.Tag], r)
			id, _, _ := strings.Cut(r.Request, ".")
			ids[id] = true
		}
		for _, o := range l.Orders {
			if o.Unload && o.Running > 0 {
				report("%s was unloaded while %d requests ran", o.Model, o.Running)
			}
		}
	}
	for _, c := range calls {
		for _, r := range runs[c.tag()] {
			if !c.service && !allowedModel(r.Model, string(c.adapter), versions) {
				report("%q ran on %s", c.content, r.Model)
			}
		}
		if (c.idempotencyKey != "" || c.service) && len(runs[c.tag()]) > 1 {
			report("at-most-once %q ran %d times", c.content, len(runs[c.tag()]))
		}
		switch c.outcome {
		case sandbarrow.OutcomeComplete:
			violations = append(violations, checkCompleteResponse(c, runs[c.tag()])...)
		case sandbarrow.OutcomeNotRun:
			if ids[string(c.problem.RequestID)] {
				report("%q got outcome not-run (%s) but ran", c.content, c.problem.Detail)
			}
		case sandbarrow.OutcomeUnknown:
		default:
			report("%q has no final outcome: status %d, error %v, body %.200q", c.content, c.status, c.err, c.body)
		}
	}
	return violations
}

func allowedModel(model, adapter string, versions []string) bool {
	for _, v := range versions {
		if model == adapter+"@"+v {
			return true
		}
	}
	return false
}

// checkCompleteResponse checks that a response is complete and belongs to its own request.
func checkCompleteResponse(c *call, runs []standin.Run) []string {
	var violations []string
	if len(runs) == 0 {
		violations = append(violations, fmt.Sprintf("%q got a response but never ran", c.content))
	}
	if !strings.Contains(c.body, c.tag()) {
		violations = append(violations, fmt.Sprintf("%q got another request's response", c.content))
	}
	if c.service {
		return violations
	}
	if !strings.Contains(c.body, fmt.Sprintf("t%d", c.tokens-1)) {
		violations = append(violations, fmt.Sprintf("%q got a truncated response", c.content))
	}
	if c.stream && !strings.HasSuffix(c.body, "data: [DONE]\n\n") {
		violations = append(violations, fmt.Sprintf("%q got a stream without its final event", c.content))
	}
	model := c.header.Get("Sandbarrow-Model")
	if model != "" && !strings.Contains(c.body, fmt.Sprintf("%q:%q", "model", model)) {
		violations = append(violations, fmt.Sprintf("%q got a response from another model than %s", c.content, model))
	}
	return violations
}
