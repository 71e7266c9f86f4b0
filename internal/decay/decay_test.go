package decay

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestCountHalvesInHalfLife(t *testing.T) {
	const halfLife = 10 * time.Second
	var c Count
	now := time.Now()
	assert.Equal(t, c.Value(now, halfLife), 0.0)
	c.Add(now, halfLife)
	assert.Equal(t, c.Add(now, halfLife), 2.0)
	assert.Equal(t, c.Value(now.Add(halfLife), halfLife), 1.0)
	assert.Equal(t, c.Add(now.Add(2*halfLife), halfLife), 1.5)
}
