package systest

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/workload"
)

func TestMixedTrafficEndToEnd(t *testing.T) {
	t.Parallel()
	opts := defaultOptions()
	opts.entries, opts.standinProcesses = 2, true
	s := startSystem(t, opts)
	var calls []*call
	for _, e := range estates() {
		for i, r := range workload.Trace(&e, workload.Options{Duration: 2 * time.Second, Seed: 5, Skew: 1.1}) {
			c := &call{
				adapter: r.Adapter, class: r.Class.Class, content: fmt.Sprintf("%s %d", e.Name, i),
				entry: i % 2, tokens: min(20, r.Tokens),
			}
			switch i % 4 {
			case 0:
				c.service = true
			case 1:
				c.stream = true
			case 2:
				c.idempotencyKey = c.content
			}
			calls = append(calls, s.start(c))
		}
	}
	assert.Assert(t, len(calls) > 50)
	s.checker.verify("v1")
	for _, c := range calls {
		assert.Equal(t, c.outcome, sandbarrow.OutcomeComplete, "%s: %s", c.content, c.body)
	}
}

func TestInvalidRequestsAreRefused(t *testing.T) {
	t.Parallel()
	s := startSystem(t, defaultOptions())
	for name, tc := range map[string]struct {
		body, header, key, path, value string
		status                         int
	}{
		"broken JSON":      {body: `{"model"`, status: http.StatusBadRequest},
		"deadline":         {body: `{"model":"adapter-0","prompt":"p"}`, header: "Sandbarrow-Deadline-Ms", value: "soon", status: http.StatusBadRequest},
		"deadline passed":  {body: `{"model":"adapter-0","prompt":"p"}`, header: "Sandbarrow-Deadline-Ms", value: "0", status: http.StatusBadRequest},
		"unknown key":      {body: `{"model":"adapter-0","prompt":"p"}`, key: "other", status: http.StatusUnauthorized},
		"no model":         {body: `{"prompt":"p"}`, status: http.StatusBadRequest},
		"no prompt":        {body: `{"model":"adapter-0"}`, status: http.StatusBadRequest},
		"too large":        {body: string(make([]byte, 2<<20)), status: http.StatusRequestEntityTooLarge},
		"type":             {body: `{"model":"adapter-0","prompt":"p"}`, header: "Content-Type", value: "text/plain", status: http.StatusBadRequest},
		"unknown header":   {body: `{"model":"adapter-0","prompt":"p"}`, header: "Sandbarrow-Onec", value: "true", status: http.StatusBadRequest},
		"unknown model":    {body: `{"model":"nobody","prompt":"p"}`, status: http.StatusNotFound},
		"unknown path":     {path: "/nowhere", status: http.StatusNotFound},
		"unnamed version":  {body: `{"model":"adapter-0@v2","prompt":"p"}`, status: http.StatusNotFound},
		"named version":    {body: `{"model":"adapter-0@v1","prompt":"p"}`, status: http.StatusOK},
		"wrong once value": {body: `{"model":"adapter-0","prompt":"p"}`, header: "Sandbarrow-Once", value: "yes", status: http.StatusBadRequest},
	} {
		t.Run(name, func(t *testing.T) {
			status, problem := s.sendRaw(t, tc.path, tc.body, tc.key, tc.header, tc.value)
			assert.Equal(t, status, tc.status)
			if status != http.StatusOK {
				assert.Equal(t, problem.Outcome, sandbarrow.OutcomeNotRun)
				assert.Assert(t, problem.Detail != "")
			}
		})
	}
}

// TestReusedIdempotencyKeyIsRefused retries an at-most-once request and sends others with its key.
func TestReusedIdempotencyKeyIsRefused(t *testing.T) {
	t.Parallel()
	s := startSystem(t, defaultOptions())
	for name, tc := range map[string]struct {
		path, body string
		status     int
	}{
		"1 first":        {"/receipts/a", "body", http.StatusOK},
		"2 its retry":    {"/receipts/a", "body", http.StatusOK},
		"3 another body": {"/receipts/a", "other", http.StatusBadRequest},
		"4 another path": {"/receipts/b", "body", http.StatusBadRequest},
	} {
		if name != "1 first" {
			_, _ = s.sendRaw(t, "/receipts/a", "body", "", "Idempotency-Key", "key")
		}
		status, _ := s.sendRaw(t, tc.path, tc.body, "", "Idempotency-Key", "key")
		assert.Equal(t, status, tc.status, name)
	}
	assert.Equal(t, len(s.upstreamLog(s.members[len(s.members)-1].upstreamURL).Runs), 1)
}
