package gateway

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/enginelink"
)

// Engines that refuse a request at once, as crashed ones do, use up none of the waits
// that it has; there is a bound to them all the same.
func TestRefusalsAtOnceAreNoWaits(t *testing.T) {
	s := engineSearch{excluded: map[sandbarrow.InstanceID]bool{}}
	assert.Assert(t, s.first())
	ask := func(refused enginelink.RefuseReason) {
		s.asked(sandbarrow.InstanceID(fmt.Sprint(len(s.excluded))), refused)
	}
	for range maxRefusals - 1 {
		ask(enginelink.RefuseUnreachable)
	}
	assert.Assert(t, s.mayAsk() && !s.first())
	assert.Equal(t, s.acquires, 0)
	for range maxAcquires {
		assert.Assert(t, s.mayAsk())
		ask(enginelink.RefuseSlots)
	}
	assert.Assert(t, !s.mayAsk())

	s = engineSearch{excluded: map[sandbarrow.InstanceID]bool{}}
	for range maxRefusals {
		assert.Assert(t, s.mayAsk())
		ask(enginelink.RefuseDraining)
	}
	assert.Assert(t, !s.mayAsk())
}
