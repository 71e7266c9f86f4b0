package systest

import (
	"testing"

	"gotest.tools/v3/assert"

	"sandbarrow.example/sandbarrow"
)

func TestRetryKeepsModelAndRevisionHeaders(t *testing.T) {
	t.Parallel()
	s := startSystem(t, defaultOptions())
	templates := map[string]call{
		"complete": {content: "complete", idempotencyKey: "complete", tokens: 2},
		"stream":   {content: "stream", idempotencyKey: "stream", stream: true, tokens: 2},
		"service":  {content: "service", idempotencyKey: "service", service: true},
	}
	first := map[string]*call{}
	for name, c := range templates {
		c.adapter = adapter(1)
		first[name] = s.start(&c).wait(t)
		assert.Equal(t, first[name].outcome, sandbarrow.OutcomeComplete, "%s", c.body)
	}
	s.applyVersion("v2", 1)
	s.waitRevision(2)
	for name, c := range templates {
		c.adapter = adapter(1)
		retry := s.start(&c).wait(t)
		assert.Equal(t, retry.outcome, sandbarrow.OutcomeComplete, "%s", retry.body)
		assert.Equal(t, retry.body, first[name].body, name)
		for _, header := range []string{"Sandbarrow-Model", "Sandbarrow-Revision"} {
			assert.Check(t, retry.header.Get(header) == first[name].header.Get(header),
				"%s: %s is %q in the retry, %q in the first response", name, header, retry.header.Get(header), first[name].header.Get(header))
		}
	}
	fresh := s.start(&call{adapter: adapter(1), content: "fresh", idempotencyKey: "fresh", tokens: 2}).wait(t)
	assert.Equal(t, fresh.header.Get("Sandbarrow-Model"), string(adapter(1))+"@v2")
	s.checker.verify("v1", "v2")
}
