package schedule

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sandbarrow.example/sandbarrow"
)

// The tests of this file guard against a fault: an engine restarted empty while an order to
// load or unload an adapter was in progress, and the result of the order was recorded for the
// restarted engine. The agent then reported the adapter as loaded, and the engine received its
// requests and refused each of them.

// newRestartedEngine returns an engine with one slot that restarted empty during an order. The
// order loads modelRef(1) and evicts the loaded adapter, if any.
func newRestartedEngine(t *testing.T, loaded ...sandbarrow.ModelRef) (*engine, Order) {
	e := newEngine(t, 1, 4)
	e.s.Reset(e.now, loaded, time.Time{})
	e.submit(1, 0, time.Minute)
	o, ok := e.s.NextOrder(e.now, true)
	assert.Assert(t, ok)
	e.s.BeginOrder(e.now, o)
	e.s.Reset(e.now, nil, time.Time{})
	return e, o
}

func TestLoadBeforeRestartLeavesAdapterUnloaded(t *testing.T) {
	e, o := newRestartedEngine(t)
	e.s.LoadDone(e.now, o, true)
	assert.Check(t, len(e.s.Resident()) == 0, "resident: %v", e.s.Resident())
	assert.Check(t, e.s.NextStart(e.now) == nil, "a request started without its adapter")
	second, ok := e.s.NextOrder(e.now, true)
	assert.Check(t, ok && second.Model == o.Model, "the load was not ordered again: %v", second)
}

func TestUnloadBeforeRestartLeavesAdapterUnloaded(t *testing.T) {
	for name, ok := range map[string]bool{"unloaded": true, "failed": false} {
		t.Run(name, func(t *testing.T) {
			e, o := newRestartedEngine(t, modelRef(0))
			assert.Equal(t, o.Evict, modelRef(0))
			e.s.EvictDone(o, ok)
			assert.Check(t, len(e.s.Resident()) == 0, "resident: %v", e.s.Resident())
		})
	}
}

func TestOrderInProgressKeepsSlotAfterRestart(t *testing.T) {
	e, _ := newRestartedEngine(t)
	e.submit(2, 0, time.Minute)
	_, ok := e.s.NextOrder(e.now, true)
	assert.Assert(t, !ok, "two loads were ordered into one slot")
}
