package gateway

import (
	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/enginelink"
)

const (
	// maxAcquires is the number of engines at which a request waits for its adapter.
	maxAcquires = 3
	// maxBusyRetries is how often the choice is repeated because more prompts wait at the
	// engine than the gateway knew. After that the choice is final.
	maxBusyRetries = 2
	// maxRefusals is how many engines may refuse a request immediately. Crashed engines do so
	// for the half second until this gateway detects the crash. A refusal takes only a round
	// trip and is not counted as a wait.
	maxRefusals = 8
)

// engineSearch is the state of one call's search for an engine that serves it.
type engineSearch struct {
	// excluded are the engines that have been tried.
	excluded map[sandbarrow.InstanceID]bool
	// endReason is the reason reported if no other engine responds.
	endReason reason
	// loadsAt is the engine that was decided to load the adapter; empty if no engine was.
	loadsAt sandbarrow.InstanceID
	// acquires counts the engines at which the request may have waited, refusals those that
	// refused it immediately, and busyRetries the repeated choices.
	acquires, refusals, busyRetries int
}

// recordAcquire counts an attempt to acquire the adapter at an engine, by its result.
func (s *engineSearch) recordAcquire(id sandbarrow.InstanceID, refused enginelink.RefuseReason) {
	s.excluded[id] = true
	switch refused {
	case enginelink.RefuseBackoff, enginelink.RefuseDraining, enginelink.RefuseEvacuated, enginelink.RefuseInstance, enginelink.RefuseNoModel, enginelink.RefuseUnreachable:
		s.refusals++
	default:
		s.acquires++
	}
}

// isFirst reports whether no engine has been tried yet.
func (s *engineSearch) isFirst() bool {
	return len(s.excluded) == 0
}

// mayContinue reports whether one more engine may be tried.
func (s *engineSearch) mayContinue() bool {
	return s.acquires < maxAcquires && s.refusals < maxRefusals
}
