package entry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sandbarrow.example/sandbarrow/internal/boottime"
	"sandbarrow.example/sandbarrow/wire"
)

// A machine may be suspended for seconds: its steady clock stands still meanwhile, while
// what others hold runs on (a lease in the store, a caller's patience, the other end of a
// link). An age that the steady clock counts is then too young, and guards nothing.
//
// An agent is silent for as long as its entry was suspended, whatever was sent meanwhile has
// yet to be read; and the time of a caller has run on.
func TestSuspension(t *testing.T) {
	p := &peer{}
	p.contact()
	assert.Assert(t, p.silence() < wire.HeartbeatTimeout)
	j := &job{deadline: boottime.Now().Add(time.Minute)}
	boottime.Suspend(time.Minute)
	assert.Check(t, p.silence() > wire.HeartbeatTimeout)
	assert.Check(t, j.left() <= 0, "%v left", j.left())
}
