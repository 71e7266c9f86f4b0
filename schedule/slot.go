package schedule

import (
	"time"

	"sandbarrow.example/sandbarrow"
)

// slotState is the state of an adapter on an engine.
type slotState int

// The states of a slot.
const (
	slotLoaded slotState = iota
	// slotDraining is loaded but starts no new requests. Its slot goes to a group that
	// has waited for drainAfter while no adapter was idle.
	slotDraining
	slotLoading
	slotUnloading
)

// slot is one adapter on the engine.
type slot struct {
	lastUsed time.Time
	loadedAt time.Time
	// protectedUntil protects an adapter from eviction while requests that the
	// scheduler does not count may still run on it, such as those of a previous agent.
	protectedUntil time.Time
	model          sandbarrow.ModelRef
	running        int
	loadStarted    time.Time
	state          slotState
}

// isResident reports whether the adapter is completely loaded.
func (sl *slot) isResident() bool {
	return sl.state == slotLoaded || sl.state == slotDraining
}
