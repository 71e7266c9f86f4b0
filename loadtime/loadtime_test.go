package loadtime

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// storeOf returns how long a load takes at a weight store that carries so many at once.
func storeOf(alone time.Duration, carries int) func(underWay int) time.Duration {
	return func(underWay int) time.Duration {
		return max(alone, alone*time.Duration(underWay)/time.Duration(carries))
	}
}

func TestModelLearnsWhatTheStoreCarries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		alone := time.Duration(rapid.IntRange(120, 600).Draw(t, "alone")) * time.Millisecond
		carries := rapid.IntRange(4, 200).Draw(t, "carries")
		took := storeOf(alone, carries)
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		m := NewModel()
		for range 800 {
			underWay := 1 + random.IntN(3*carries)
			m.Observe(took(underWay), underWay)
		}
		assert.Check(t, m.Capacity > 0.7*float64(carries) && m.Capacity < 1.4*float64(carries), "carries %d, learnt %.1f", carries, m.Capacity)
		assert.Check(t, float64(m.BaseTime) < 1.1*float64(alone) && float64(m.BaseTime) > 0.9*float64(alone), "alone %v, learnt %v", alone, m.BaseTime)
		few := max(1, carries/2)
		assert.Check(t, m.Delay(few) < alone*13/10, "%v beside %d", m.Delay(few), few)
	})
}

// A load that shows nothing changes nothing.
func TestModelIgnoresNoTime(t *testing.T) {
	m := NewModel()
	m.Observe(0, 5)
	assert.Equal(t, m, NewModel())
}
