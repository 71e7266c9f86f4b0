package limit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sandbarrow.example/sandbarrow"
)

func TestAdmit(t *testing.T) {
	now := time.Unix(1000, 0)
	c := NewClasses()
	c.Set(now, map[sandbarrow.CallerClass]Rate{"desk": {PerSecond: 2, Burst: 2}, "free": {}})
	for range 2 {
		ok, _ := c.Admit(now, "desk")
		assert.Assert(t, ok)
	}
	ok, wait := c.Admit(now, "desk")
	assert.Assert(t, !ok)
	assert.Equal(t, wait, 500*time.Millisecond)
	for range 100 {
		ok, _ = c.Admit(now, "free")
		assert.Assert(t, ok)
	}
	c.Set(now, map[sandbarrow.CallerClass]Rate{"desk": {PerSecond: 2, Burst: 2}})
	ok, _ = c.Admit(now, "desk")
	assert.Assert(t, !ok, "a new configuration does not reset the usage")
	ok, _ = c.Admit(now.Add(wait), "desk")
	assert.Assert(t, ok)
}
