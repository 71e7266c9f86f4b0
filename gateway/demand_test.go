package gateway

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sandbarrow.example/sandbarrow"
)

func TestDemandDecaysAndIsBounded(t *testing.T) {
	d := newDemand()
	now := time.Now()
	busy := sandbarrow.AdapterKey{Adapter: "busy"}
	for range 3 {
		d.note(now, busy)
	}
	assert.Equal(t, d.note(now.Add(demandHalfLife), busy), 2.5)
	for i := range 3 * demandKept {
		d.note(now, sandbarrow.AdapterKey{Adapter: sandbarrow.AdapterID(fmt.Sprint(i))})
	}
	assert.Assert(t, len(d.counts) <= demandKept)
}
