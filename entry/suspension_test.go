package entry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sandbarrow.example/sandbarrow/internal/boottime"
	"sandbarrow.example/sandbarrow/wire"
)

func TestAgentSilenceCountsASuspension(t *testing.T) {
	p := &peer{}
	p.contact()
	assert.Assert(t, p.silence() < wire.HeartbeatTimeout)
	j := &job{deadline: boottime.Now().Add(time.Minute)}
	boottime.Suspend(time.Minute)
	assert.Check(t, p.silence() > wire.HeartbeatTimeout)
	assert.Check(t, j.left() <= 0, "%v left", j.left())
}
