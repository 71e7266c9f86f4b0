package entry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sandbarrow.example/sandbarrow/internal/boottime"
	"sandbarrow.example/sandbarrow/wire"
)

func TestTimeSinceContactIncludesSuspension(t *testing.T) {
	p := &peer{}
	p.recordContact()
	assert.Assert(t, p.sinceContact() < wire.HeartbeatTimeout)
	j := &job{deadline: boottime.Now().Add(time.Minute)}
	boottime.Suspend(time.Minute)
	assert.Check(t, p.sinceContact() > wire.HeartbeatTimeout)
	assert.Check(t, j.timeLeft() <= 0, "%v left", j.timeLeft())
}
