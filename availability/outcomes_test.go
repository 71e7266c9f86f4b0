package availability

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sandbarrow.example/sandbarrow"
)

func TestFailuresCostAndFade(t *testing.T) {
	now := time.Now()
	var table Outcomes
	price := func() time.Duration {
		_, penalty := table.Check(now, "a")
		return penalty
	}
	assert.Equal(t, price(), time.Duration(0))
	for range 20 {
		table.Begin(now, "a")
		table.End(now, "a", true)
	}
	failed := price()
	assert.Assert(t, failed > failurePenalty*9/10 && failed <= failurePenalty, "%v", failed)
	now = now.Add(failureHalfLife)
	assert.Assert(t, price() > failed*4/10 && price() < failed*6/10, "%v", price())
	table.Begin(now, "a")
	inFlight, _ := table.Check(now, "a")
	assert.Equal(t, inFlight, 1)
	before := price()
	table.End(now, "a", false)
	assert.Assert(t, price() < before)
	inFlight, _ = table.Check(now, "a")
	assert.Equal(t, inFlight, 0)
}

func TestGoneUpstreamsAreForgotten(t *testing.T) {
	now := time.Now()
	var table Outcomes
	for i := range 100 {
		id := sandbarrow.InstanceID(fmt.Sprint(i))
		table.Begin(now, id)
		if i > 0 {
			table.End(now, id, true)
		}
	}
	now = now.Add(keepOutcomes)
	table.Begin(now, "new")
	assert.Equal(t, len(table.upstreams), 2)
	table.End(now, "0", true)
	inFlight, _ := table.Check(now, "0")
	assert.Equal(t, inFlight, 0)
}
