package agent

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sandbarrow.example/sandbarrow/internal/boottime"
)

func TestEntrySilenceCountsASuspension(t *testing.T) {
	c := &connection{}
	c.contact()
	assert.Assert(t, c.silence() < entryTimeout)
	boottime.Suspend(time.Minute)
	assert.Check(t, c.silence() > entryTimeout)
}
