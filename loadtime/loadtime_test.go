package loadtime

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// storeWithCapacity returns the load time of a weight store that sustains so many loads at once.
func storeWithCapacity(baseTime time.Duration, capacity int) func(inProgress int) time.Duration {
	return func(inProgress int) time.Duration {
		return max(baseTime, baseTime*time.Duration(inProgress)/time.Duration(capacity))
	}
}

func TestModelLearnsStoreCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		baseTime := time.Duration(rapid.IntRange(120, 600).Draw(t, "base time")) * time.Millisecond
		capacity := rapid.IntRange(4, 200).Draw(t, "capacity")
		took := storeWithCapacity(baseTime, capacity)
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		m := NewModel()
		for range 800 {
			inProgress := 1 + random.IntN(3*capacity)
			m.Observe(took(inProgress), inProgress)
		}
		assert.Check(t, m.Capacity > 0.7*float64(capacity) && m.Capacity < 1.4*float64(capacity), "capacity %d, learned %.1f", capacity, m.Capacity)
		assert.Check(t, float64(m.BaseTime) < 1.1*float64(baseTime) && float64(m.BaseTime) > 0.9*float64(baseTime), "base time %v, learned %v", baseTime, m.BaseTime)
		few := max(1, capacity/2)
		assert.Check(t, m.Delay(few) < baseTime*13/10, "%v with %d loads in progress", m.Delay(few), few)
	})
}

// An observation without a load time must not change the model.
func TestModelIgnoresZeroLoadTime(t *testing.T) {
	m := NewModel()
	m.Observe(0, 5)
	assert.Equal(t, m, NewModel())
}
