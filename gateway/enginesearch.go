package gateway

import (
	"time"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/enginelink"
)

const (
	// maxAcquires is at how many engines a request waits for its adapter. Three waits of
	// acquireWaits use up the timeout of the routes seen.
	maxAcquires = 3
	// maxBusy is how often a choice is repeated because more prompts wait at the engine
	// than was known; after that the choice stands.
	maxBusy = 2
	// maxRefusals is how many engines may refuse a request at once, as crashed ones do for the half
	// second until this gateway knows. Each takes a round trip alone, so that they do not count
	// as waits.
	maxRefusals = 8
)

// acquireWaits bound the wait for a slot at the first, second and third engine. The
// first is short so that another engine can still be in time; the last may use what is
// left.
var acquireWaits = [maxAcquires]time.Duration{500 * time.Millisecond, 800 * time.Millisecond, 2 * time.Second}

// engineSearch is the state of one call's search for an engine that answers.
type engineSearch struct {
	// excluded are the engines that were asked.
	excluded map[sandbarrow.InstanceID]bool
	// why is the reason of the call's end where no other engine answers.
	why reason
	// acquires counts the engines at which the request may have waited, refusals those
	// that refused it at once, busy the choices that were repeated.
	acquires, refusals, busy int
}

// asked counts an engine that was asked for the adapter, and what it refused.
func (s *engineSearch) asked(id sandbarrow.InstanceID, refused enginelink.RefuseReason) {
	s.excluded[id] = true
	switch refused {
	case enginelink.RefuseBackoff, enginelink.RefuseDraining, enginelink.RefuseInstance, enginelink.RefuseNoModel, enginelink.RefuseUnreachable:
		s.refusals++
	default:
		s.acquires++
	}
}

// first reports whether no engine was asked yet.
func (s *engineSearch) first() bool {
	return len(s.excluded) == 0
}

// mayAsk reports whether one more engine may be asked.
func (s *engineSearch) mayAsk() bool {
	return s.acquires < maxAcquires && s.refusals < maxRefusals
}
