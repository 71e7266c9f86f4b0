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

func TestCheckerCatches(t *testing.T) {
	good := func() (*call, standin.Log) {
		c := &call{
			adapter: "a", content: "p", onceKey: "k", outcome: sandbarrow.OutcomeComplete, stream: true, tokens: 2,
			header: http.Header{"Sandbarrow-Model": {"a@v1"}},
		}
		c.body = `"model":"a@v1" ` + c.tag() + " t1 data: [DONE]\n\n"
		return c, standin.Log{Runs: []standin.Run{{Model: "a@v1", Request: "id.1", Tag: c.tag()}}}
	}
	for name, tc := range map[string]struct {
		tamper func(c *call, l *standin.Log)
		want   string
	}{
		"nothing":     {func(*call, *standin.Log) {}, ""},
		"doubled run": {func(_ *call, l *standin.Log) { l.Runs = append(l.Runs, l.Runs[0]) }, "ran 2 times"},
		"false not-run": {func(c *call, _ *standin.Log) {
			c.outcome, c.problem = sandbarrow.OutcomeNotRun, entry.Problem{RequestID: "id"}
		}, "told not-run"},
		"no answer":  {func(c *call, _ *standin.Log) { c.outcome = "" }, "no final answer"},
		"no run":     {func(_ *call, l *standin.Log) { l.Runs = nil }, "never ran"},
		"swapped":    {func(c *call, _ *standin.Log) { c.body = strings.ReplaceAll(c.body, c.tag(), "other") }, "another request's answer"},
		"truncated":  {func(c *call, _ *standin.Log) { c.body = strings.ReplaceAll(c.body, "t1", "") }, "cut answer"},
		"stream cut": {func(c *call, _ *standin.Log) { c.body = strings.ReplaceAll(c.body, "[DONE]", "") }, "without its end"},
		"unload": {func(_ *call, l *standin.Log) {
			l.Orders = []standin.OrderRecord{{Model: "a@v1", Running: 1, Unload: true}}
		}, "was unloaded under"},
		"wrong model":   {func(c *call, _ *standin.Log) { c.body = strings.ReplaceAll(c.body, "a@v1", "b@v1") }, "another model"},
		"wrong version": {func(_ *call, l *standin.Log) { l.Runs[0].Model = "a@v2" }, "ran on a@v2"},
	} {
		t.Run(name, func(t *testing.T) {
			c, l := good()
			tc.tamper(c, &l)
			faults := check([]*call{c}, []standin.Log{l}, []string{"v1"})
			assert.Equal(t, len(faults) > 0, tc.want != "", "%v", faults)
			assert.Assert(t, strings.Contains(strings.Join(faults, "; "), tc.want), "%v", faults)
		})
	}
}
