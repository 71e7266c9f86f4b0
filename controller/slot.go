package controller

import (
	"time"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/enginelink"
)

// slot is one adapter on the engine.
type slot struct {
	key      sandbarrow.AdapterKey
	lastUsed time.Time
	loaded   time.Time
	// orderedAt is when the load was ordered; zero if the order is not known here.
	orderedAt time.Time
	// preloaded reports whether the adapter was loaded before it was requested, and still is not.
	preloaded bool
	// recalled reports whether the load was expected to come from the engine's own memory.
	recalled bool
	state    enginelink.SlotState
	version  sandbarrow.AdapterVersion
}

// usable reports whether a slot can serve a version now. A nil slot can't.
func (s *slot) usable(v sandbarrow.AdapterVersion) bool {
	return s != nil && s.state == enginelink.SlotLoaded && s.version >= v
}
