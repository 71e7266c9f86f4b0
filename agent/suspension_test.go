package agent

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sandbarrow.example/sandbarrow/internal/boottime"
)

func TestEntryTimeoutIncludesBoxSuspension(t *testing.T) {
	c := &connection{}
	c.recordContact()
	assert.Assert(t, c.sinceLastContact() < entryTimeout)
	boottime.Suspend(time.Minute)
	assert.Check(t, c.sinceLastContact() > entryTimeout)
}
