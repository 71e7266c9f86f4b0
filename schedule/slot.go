package schedule

import (
	"time"

	"sandbarrow.example/sandbarrow"
)

// slotState says what an engine does with an adapter.
type slotState int

// The states of a slot.
const (
	slotLoaded slotState = iota
	// slotDraining is loaded, but starts nothing new: it goes to a group that has
	// waited for drainAfter while no adapter was idle.
	slotDraining
	slotLoading
	slotUnloading
)

// slot is one adapter on the engine.
type slot struct {
	lastUsed time.Time
	loadedAt time.Time
	// keepUntil protects adapters that a previous agent may still be using.
	keepUntil time.Time
	model     sandbarrow.ModelRef
	running   int
	started   time.Time
	state     slotState
}

// isHeld reports whether the engine has the adapter, loaded in full.
func (sl *slot) isHeld() bool {
	return sl.state == slotLoaded || sl.state == slotDraining
}
