package systest

import (
	"testing"

	"gotest.tools/v3/assert"

	"sandbarrow.example/sandbarrow"
)

func TestRepeatKeepsItsLabel(t *testing.T) {
	t.Parallel()
	s := startSystem(t, defaultShape())
	kinds := map[string]call{
		"whole":   {content: "whole", onceKey: "whole", tokens: 2},
		"stream":  {content: "stream", onceKey: "stream", stream: true, tokens: 2},
		"service": {content: "service", onceKey: "service", service: true},
	}
	first := map[string]*call{}
	for name, c := range kinds {
		c.adapter = adapter(1)
		first[name] = s.start(&c).wait(t)
		assert.Equal(t, first[name].outcome, sandbarrow.OutcomeComplete, "%s", c.body)
	}
	s.apply("v2", 1)
	s.waitRevision(2)
	for name, c := range kinds {
		c.adapter = adapter(1)
		repeat := s.start(&c).wait(t)
		assert.Equal(t, repeat.outcome, sandbarrow.OutcomeComplete, "%s", repeat.body)
		assert.Equal(t, repeat.body, first[name].body, name)
		for _, header := range []string{"Sandbarrow-Model", "Sandbarrow-Revision"} {
			assert.Check(t, repeat.header.Get(header) == first[name].header.Get(header),
				"%s: %s %q, the answer was made under %q", name, header, repeat.header.Get(header), first[name].header.Get(header))
		}
	}
	fresh := s.start(&call{adapter: adapter(1), content: "fresh", onceKey: "fresh", tokens: 2}).wait(t)
	assert.Equal(t, fresh.header.Get("Sandbarrow-Model"), string(adapter(1))+"@v2")
	s.checker.verify("v1", "v2")
}
