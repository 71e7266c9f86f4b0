package enginelink

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestWaitingAheadCountsLowerPrioritiesInPart(t *testing.T) {
	var w Waiting
	w.Add(0, 1000)
	w.Add(1, 4000)
	w.Add(9, 400)
	w.Add(-1, 100)
	w.Add(1, -2000)
	assert.Equal(t, w.Total(), 3500)
	assert.Equal(t, w.Ahead(0), 1100+(2000+400)/4, "a quarter of the less urgent tokens")
	assert.Equal(t, w.Ahead(1), 3100+400/4)
	assert.Equal(t, w.Ahead(9), 3500)
}
