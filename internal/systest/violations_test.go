package systest

import (
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/entry"
	"sandbarrow.example/sandbarrow/standin"
)

func TestCheckerReportsViolations(t *testing.T) {
	validCall := func() (*call, standin.Log) {
		c := &call{
			adapter: "a", content: "p", idempotencyKey: "k", outcome: sandbarrow.OutcomeComplete, stream: true, tokens: 2,
			header: http.Header{"Sandbarrow-Model": {"a@v1"}},
		}
		c.body = `"model":"a@v1" ` + c.tag() + " t1 data: [DONE]\n\n"
		return c, standin.Log{Runs: []standin.Run{{Model: "a@v1", Request: "id.1", Tag: c.tag()}}}
	}
	for name, tc := range map[string]struct {
		tamper func(c *call, l *standin.Log)
		want   string
	}{
		"no violation":  {func(*call, *standin.Log) {}, ""},
		"duplicate run": {func(_ *call, l *standin.Log) { l.Runs = append(l.Runs, l.Runs[0]) }, "ran 2 times"},
		"false not-run": {func(c *call, _ *standin.Log) {
			c.outcome, c.problem = sandbarrow.OutcomeNotRun, entry.Problem{RequestID: "id"}
		}, "got outcome not-run"},
		"no outcome":       {func(c *call, _ *standin.Log) { c.outcome = "" }, "no final outcome"},
		"no run":           {func(_ *call, l *standin.Log) { l.Runs = nil }, "never ran"},
		"swapped response": {func(c *call, _ *standin.Log) { c.body = strings.ReplaceAll(c.body, c.tag(), "other") }, "another request's response"},
		"truncated":        {func(c *call, _ *standin.Log) { c.body = strings.ReplaceAll(c.body, "t1", "") }, "truncated response"},
		"stream cut":       {func(c *call, _ *standin.Log) { c.body = strings.ReplaceAll(c.body, "[DONE]", "") }, "without its final event"},
		"unload during run": {func(_ *call, l *standin.Log) {
			l.Orders = []standin.OrderRecord{{Model: "a@v1", Running: 1, Unload: true}}
		}, "was unloaded while"},
		"wrong model":   {func(c *call, _ *standin.Log) { c.body = strings.ReplaceAll(c.body, "a@v1", "b@v1") }, "another model"},
		"wrong version": {func(_ *call, l *standin.Log) { l.Runs[0].Model = "a@v2" }, "ran on a@v2"},
	} {
		t.Run(name, func(t *testing.T) {
			c, l := validCall()
			tc.tamper(c, &l)
			violations := findViolations([]*call{c}, []standin.Log{l}, []string{"v1"})
			assert.Equal(t, len(violations) > 0, tc.want != "", "%v", violations)
			assert.Assert(t, strings.Contains(strings.Join(violations, "; "), tc.want), "%v", violations)
		})
	}
}
