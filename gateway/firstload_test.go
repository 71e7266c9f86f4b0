package gateway

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/enginelink"
)

// enginesWithLoad returns linked engines, each with a number of running requests.
func enginesWithLoad(running func(i int) int) []candidate {
	list := make([]candidate, 40)
	for i := range list {
		id := sandbarrow.InstanceID(fmt.Sprintf("e%d@1", i))
		list[i].instance, list[i].linked = &sandbarrow.Instance{ID: id}, true
		list[i].status = enginelink.Status{Free: 5, Models: []sandbarrow.BaseModelID{testModel}, Running: running(i)}
	}
	return list
}

func TestGatewaysLoadNewAdapterAtTheSameEngine(t *testing.T) {
	loads := newLoneGateway().loadTimes.ModelFor
	chosen := map[int]bool{}
	for adapter := range 200 {
		n := requirements{key: sandbarrow.AdapterKey{Adapter: sandbarrow.AdapterID(fmt.Sprint("a", adapter)), Model: testModel}, loads: loads, untilObjective: time.Second}
		first, _ := cheapest(enginesWithLoad(func(i int) int { return i % 7 }), &n)
		second, _ := cheapest(enginesWithLoad(func(i int) int { return (i + 3) % 7 }), &n)
		assert.Equal(t, first, second, "adapter %d", adapter)
		chosen[first] = true
		busy, _ := cheapest(enginesWithLoad(func(i int) int {
			if i == first {
				return 60
			}
			return 5
		}), &n)
		assert.Assert(t, busy != first, "the ranked engine is busy")
	}
	assert.Assert(t, len(chosen) > 35, "%d of 40 engines chosen", len(chosen))
}
