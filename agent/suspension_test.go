package agent

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sandbarrow.example/sandbarrow/internal/boottime"
)

// A machine may be suspended for seconds: its steady clock stands still meanwhile, while
// what others hold runs on (a lease in the store, a caller's patience, the other end of a
// link). An age that the steady clock counts is then too young, and guards nothing.
//
// An entry is silent for as long as the agent was suspended.
func TestSuspension(t *testing.T) {
	c := &connection{}
	c.contact()
	assert.Assert(t, c.silence() < entryTimeout)
	boottime.Suspend(time.Minute)
	assert.Check(t, c.silence() > entryTimeout)
}
