package prefixwatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The bound follows the store's answers, and grows while none comes, within its limits.
func TestAnswerTime(t *testing.T) {
	var a answerTime
	assert.Equal(t, a.bound(), leastSlack)
	a.answered(200 * time.Millisecond)
	assert.Equal(t, a.bound(), 600*time.Millisecond)
	a.answered(4 * time.Millisecond)
	assert.Equal(t, a.bound(), leastSlack)
	a.missed()
	assert.Equal(t, a.bound(), 2*leastSlack)
	for range 10 {
		a.missed()
	}
	assert.Equal(t, a.bound(), mostSlack)
	a.answered(-time.Second) // ended by a change before it was due
	assert.Equal(t, a.bound(), leastSlack)
}
