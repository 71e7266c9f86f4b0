package availability

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sandbarrow.example/sandbarrow"
)

func TestFailurePenaltyDecays(t *testing.T) {
	now := time.Now()
	var table Outcomes
	penaltyNow := func() time.Duration {
		_, penalty := table.Check(now, "a")
		return penalty
	}
	assert.Equal(t, penaltyNow(), time.Duration(0))
	for range 20 {
		table.Begin(now, "a")
		table.End(now, "a", true)
	}
	failed := penaltyNow()
	assert.Assert(t, failed > failurePenalty*9/10 && failed <= failurePenalty, "%v", failed)
	now = now.Add(failureHalfLife)
	assert.Assert(t, penaltyNow() > failed*4/10 && penaltyNow() < failed*6/10, "%v", penaltyNow())
	table.Begin(now, "a")
	inFlight, _ := table.Check(now, "a")
	assert.Equal(t, inFlight, 1)
	before := penaltyNow()
	table.End(now, "a", false)
	assert.Assert(t, penaltyNow() < before)
	inFlight, _ = table.Check(now, "a")
	assert.Equal(t, inFlight, 0)
}

func TestOutcomesOfRemovedUpstreamsExpire(t *testing.T) {
	now := time.Now()
	var table Outcomes
	for i := range 100 {
		id := sandbarrow.InstanceID(fmt.Sprint(i))
		table.Begin(now, id)
		if i > 0 {
			table.End(now, id, true)
		}
	}
	now = now.Add(outcomeRetention)
	table.Begin(now, "new")
	assert.Equal(t, len(table.upstreams), 2)
	table.End(now, "0", true)
	inFlight, _ := table.Check(now, "0")
	assert.Equal(t, inFlight, 0)
}
