package controller

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/enginelink"
	"sandbarrow.example/sandbarrow/evict"
)

func TestPrefillWindowConvergesToEngineCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.IntRange(4_000, 60_000).Draw(t, "capacity")
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		var w prefillWindow
		var now time.Time
		late := 0
		const rounds, learning = 4000, 1000
		var sum int
		for i := range rounds {
			now = now.Add(600 * time.Millisecond)
			toPrefill := random.IntN(2 * maxPrefillWindow)
			if !w.admits(toPrefill) {
				toPrefill = w.size()
			}
			w.prefillStarted(now, toPrefill)
			if toPrefill > capacity {
				w.streamPaused(now)
				if i >= learning {
					late++
				}
			}
			w.requestEnded()
			if i >= learning {
				sum += w.size()
			}
		}
		mean := sum / (rounds - learning)
		assert.Check(t, mean > capacity*7/10 && mean < capacity*13/10, "capacity %d, mean window %d", capacity, mean)
		assert.Check(t, late < (rounds-learning)/20, "%d of %d late", late, rounds-learning)
	})
	var w prefillWindow
	assert.Assert(t, w.admits(maxPrefillWindow))
}

func TestUnreportedPrefillDoesNotBlockOthers(t *testing.T) {
	f := newFakeEngine(testSlots)
	f.models = []sandbarrow.BaseModelID{testModel}
	f.loaded[key("a")] = 1
	c := newTestController(t, f)
	now := time.Now()
	c.now = func() time.Time { return now }
	step(t, c)
	c.slots.awaitingPrefill.window.reduction = maxPrefillWindow - 5_000
	request := func() *pendingRequest {
		return c.slots.acquire(now, &enginelink.Acquire{SlackMS: 800}, &pin{key: key("a"), tokens: 4_000})
	}
	unreported, other := request(), request()
	step(t, c)
	assert.Assert(t, len(unreported.grant) == 1 && len(other.grant) == 0)
	now = now.Add(maxPrefillTime)
	step(t, c)
	assert.Equal(t, len(other.grant), 1)
}

func TestPromptsWaitForPrefillWindow(t *testing.T) {
	s := newSlots(evict.NewCost())
	s.capacity = 2
	now := time.Now()
	s.markLoaded(now, key("a"), 1)
	s.awaitingPrefill.window.reduction = maxPrefillWindow - 10_000
	request := func(priority, tokens int) *pendingRequest {
		return s.acquire(now, &enginelink.Acquire{Priority: priority, SlackMS: 800}, &pin{key: key("a"), priority: priority, tokens: tokens})
	}
	granted := func(w *pendingRequest) bool { return len(w.grant) == 1 }
	long, second := request(1, 30_000), request(1, 4_000)
	assert.Assert(t, granted(long) && !granted(second), "a long prompt is prefilled alone")
	urgent, third := request(0, 4_000), request(1, 4_000)
	assert.Equal(t, s.pins[key("a")], 4, "waiting requests pin the adapter")
	waiting := s.waiting()
	assert.Equal(t, waiting.Total(), 42_000)
	s.responseStarted(now, long.pin)
	assert.Assert(t, granted(urgent) && granted(second) && !granted(third))
	late := s.acquire(now.Add(-time.Second), &enginelink.Acquire{SlackMS: 800}, &pin{key: key("a"), tokens: 4_000})
	s.responseStarted(now, urgent.pin)
	assert.Assert(t, granted(third) && !granted(late), "a request that can be on time goes before one that can't")
	s.cancel(now, late)
	third = request(1, 4_000)
	s.cancel(now, third)
	assert.Equal(t, s.pins[key("a")], 4)
	last := request(1, 4_000)
	s.refuseAll(now, enginelink.RefuseDraining)
	assert.Equal(t, (<-last.grant).Refused, enginelink.RefuseDraining)
	assert.Equal(t, s.pins[key("a")], 4)
}
