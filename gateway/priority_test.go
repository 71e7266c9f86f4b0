package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sandbarrow.example/sandbarrow/access"
	"sandbarrow.example/sandbarrow/internal/boottime"
	"sandbarrow.example/sandbarrow/route"
)

func TestEnginePriority(t *testing.T) {
	for name, tc := range map[string]struct {
		priority, tokens int
		waited           time.Duration
		streaming        bool
		want             int
	}{
		"time to spare":                  {0, 500, 0, false, 1},
		"a long prompt":                  {0, 10_000, 0, false, 0},
		"has waited":                     {0, 500, 500 * time.Millisecond, false, 0},
		"late":                           {0, 500, 2 * time.Second, false, 2},
		"late, but already streaming":    {0, 500, 2 * time.Second, true, 0},
		"less urgent route":              {1, 500, 0, false, 4},
		"late on the least urgent route": {7, 500, 2 * time.Second, false, 9},
		"late on a less urgent route":    {1, 6000, 2 * time.Second, false, 5},
	} {
		c := call{callerRequest: callerRequest{
			began: boottime.Now().Add(-tc.waited), tokens: tc.tokens, route: &route.Route{Objective: time.Second, Priority: tc.priority},
		}, streamState: streamState{committed: tc.streaming}}
		assert.Equal(t, c.enginePriority(), tc.want, name)
	}
}

// The priority of a workspace takes precedence over that of the route.
func TestWorkspacePriorityOverridesRoutePriority(t *testing.T) {
	urgent := 0
	c := &call{}
	c.route = &route.Route{Priority: 2}
	assert.Equal(t, c.priority(), 2)
	c.workspace = &access.Workspace{ID: "red"}
	assert.Equal(t, c.priority(), 2)
	c.workspace.Priority = &urgent
	assert.Equal(t, c.priority(), 0)
}
