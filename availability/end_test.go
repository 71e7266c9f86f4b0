package availability

import (
	"testing"

	"gotest.tools/v3/assert"

	"sandbarrow.example/sandbarrow"
)

func TestFindEnd(t *testing.T) {
	in := &sandbarrow.Instance{ID: upstream}
	for name, c := range map[string]struct {
		listed *sandbarrow.Instance
		report Report
		want   ExitEvidence
	}{
		"nothing known":       {nil, Report{}, ""},
		"the same":            {in, Report{Instance: upstream}, ""},
		"start not known":     {&sandbarrow.Instance{ID: "u"}, Report{Instance: "u"}, ""},
		"another start":       {&sandbarrow.Instance{ID: restart}, Report{}, ExitReplaced},
		"another upstream":    {&sandbarrow.Instance{ID: "v"}, Report{}, ExitReplaced},
		"controller saw more": {in, Report{Instance: restart}, ExitRestarted},
	} {
		assert.Equal(t, DetectExit(in, c.listed, c.report), c.want, name)
	}
}
