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

func TestReadWindowFindsWhatAnEngineBears(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bears := rapid.IntRange(4_000, 60_000).Draw(t, "bears")
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		var w readWindow
		var now time.Time
		late := 0
		const rounds, learning = 4000, 1000
		var sum int
		for i := range rounds {
			now = now.Add(600 * time.Millisecond)
			unread := random.IntN(2 * mostReadTokens)
			if !w.admits(unread) {
				unread = w.size()
			}
			w.began(now, unread)
			if unread > bears {
				w.paused(now)
				if i >= learning {
					late++
				}
			}
			w.ended()
			if i >= learning {
				sum += w.size()
			}
		}
		mean := sum / (rounds - learning)
		assert.Check(t, mean > bears*7/10 && mean < bears*13/10, "bears %d, mean window %d", bears, mean)
		assert.Check(t, late < (rounds-learning)/20, "%d of %d late", late, rounds-learning)
	})
	var w readWindow
	assert.Assert(t, w.admits(mostReadTokens))
}

func TestSilentGatewayDoesNotHoldUpOthers(t *testing.T) {
	f := newFakeEngine(testSlots)
	f.models = []sandbarrow.BaseModelID{testModel}
	f.loaded[key("a")] = 1
	c := newTestController(t, f)
	now := time.Now()
	c.now = func() time.Time { return now }
	step(t, c)
	c.slots.toRead.window.closed = mostReadTokens - 5_000
	ask := func() *pendingRequest {
		return c.slots.acquire(now, &enginelink.Acquire{SlackMS: 800}, &pin{key: key("a"), tokens: 4_000})
	}
	silent, other := ask(), ask()
	step(t, c)
	assert.Assert(t, len(silent.grant) == 1 && len(other.grant) == 0)
	now = now.Add(longestRead)
	step(t, c)
	assert.Equal(t, len(other.grant), 1)
}

func TestPromptsWaitForTheReadWindow(t *testing.T) {
	s := newSlots(evict.NewCost())
	s.capacity = 2
	now := time.Now()
	s.markLoaded(now, key("a"), 1)
	s.toRead.window.closed = mostReadTokens - 10_000
	ask := func(priority, tokens int) *pendingRequest {
		return s.acquire(now, &enginelink.Acquire{Priority: priority, SlackMS: 800}, &pin{key: key("a"), priority: priority, tokens: tokens})
	}
	granted := func(w *pendingRequest) bool { return len(w.grant) == 1 }
	long, second := ask(1, 30_000), ask(1, 4_000)
	assert.Assert(t, granted(long) && !granted(second), "a long prompt is read alone")
	urgent, third := ask(0, 4_000), ask(1, 4_000)
	assert.Equal(t, s.pins[key("a")], 4, "those that wait keep the adapter")
	waiting := s.waiting()
	assert.Equal(t, waiting.Total(), 42_000)
	s.begun(now, long.pin)
	assert.Assert(t, granted(urgent) && granted(second) && !granted(third))
	late := s.acquire(now.Add(-time.Second), &enginelink.Acquire{SlackMS: 800}, &pin{key: key("a"), tokens: 4_000})
	s.begun(now, urgent.pin)
	assert.Assert(t, granted(third) && !granted(late), "one that can be in time goes before one that can't")
	s.cancel(now, late)
	third = ask(1, 4_000)
	s.cancel(now, third)
	assert.Equal(t, s.pins[key("a")], 4)
	last := ask(1, 4_000)
	s.refuseAll(now, enginelink.RefuseDraining)
	assert.Equal(t, (<-last.grant).Refused, enginelink.RefuseDraining)
	assert.Equal(t, s.pins[key("a")], 4)
}
