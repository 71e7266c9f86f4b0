package schedule

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sandbarrow.example/sandbarrow"
)

// The tests of this file tell what requests met: an engine was ordered to load or to unload
// an adapter and restarted empty before the order's end was known. The end was counted for
// the new start, so that the engine was told of as holding the adapter, drew its requests
// and refused each of them.

// restarting returns an engine with one slot that restarts empty after an order for ref(1)
// began, whose victim, if any, is ref(0).
func restarting(t *testing.T, loaded ...sandbarrow.ModelRef) (*engine, Order) {
	e := newEngine(t, 1, 4)
	e.s.Reset(e.now, loaded, time.Time{})
	e.submit(1, 0, time.Minute)
	o, ok := e.s.NextOrder(e.now, true)
	assert.Assert(t, ok)
	e.s.BeginOrder(e.now, o)
	e.s.Reset(e.now, nil, time.Time{})
	return e, o
}

func TestLoadOfAnotherStart(t *testing.T) {
	e, o := restarting(t)
	e.s.LoadDone(e.now, o, true)
	assert.Check(t, len(e.s.Resident()) == 0, "resident: %v", e.s.Resident())
	assert.Check(t, e.s.NextStart(e.now) == nil, "a request starts without its adapter")
	again, ok := e.s.NextOrder(e.now, true)
	assert.Check(t, ok && again.Model == o.Model, "not ordered again: %v", again)
}

func TestUnloadOfAnotherStart(t *testing.T) {
	for name, ok := range map[string]bool{"unloaded": true, "failed": false} {
		t.Run(name, func(t *testing.T) {
			e, o := restarting(t, ref(0))
			assert.Equal(t, o.Evict, ref(0))
			e.s.EvictDone(o, ok)
			assert.Check(t, len(e.s.Resident()) == 0, "resident: %v", e.s.Resident())
		})
	}
}

func TestOrderKeepsItsPlace(t *testing.T) {
	e, _ := restarting(t)
	e.submit(2, 0, time.Minute)
	_, ok := e.s.NextOrder(e.now, true)
	assert.Assert(t, !ok, "two loads into one slot")
}
