package prefixwatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The bound follows the store's response times and grows with each timeout, within its limits.
func TestResponseTimeBound(t *testing.T) {
	var a responseTime
	assert.Equal(t, a.bound(), minSlack)
	a.observe(200 * time.Millisecond)
	assert.Equal(t, a.bound(), 600*time.Millisecond)
	a.observe(4 * time.Millisecond)
	assert.Equal(t, a.bound(), minSlack)
	a.timedOut()
	assert.Equal(t, a.bound(), 2*minSlack)
	for range 10 {
		a.timedOut()
	}
	assert.Equal(t, a.bound(), maxSlack)
	a.observe(-time.Second) // a change ended the watch before it was due
	assert.Equal(t, a.bound(), minSlack)
}
