package controller

import (
	"time"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/enginelink"
	"sandbarrow.example/sandbarrow/promptcache"
)

const (
	// priorityStep is how much less each lower priority counts in the queue.
	priorityStep = 0.4
	// lateWorth is the share that a late answer counts.
	lateWorth = 0.3
)

// pin is one request's right to an adapter, which is not unloaded until the pin
// ends. It is guarded by the controller's mu.
type pin struct {
	// begun says that the answer has begun, so that the prompt has been read.
	begun bool
	// granted says that the pin holds; before it waits.
	granted bool
	// grantedAt is when it was granted here; zero where a gateway reported the pin.
	grantedAt time.Time
	key       sandbarrow.AdapterKey
	// priority is that of the request's route, 0 for the most urgent.
	priority int
	// readBefore is how many prompt tokens the engine had read at grantedAt.
	readBefore int
	// stretches are those of the prompt.
	stretches []promptcache.PromptPrefix
	// tokens is the length of the prompt, unread the part of it that the engine did not
	// keep at the grant.
	tokens, unread int
	// weights are the versions with which the engine runs the request, known at the grant.
	weights sandbarrow.WeightsVersion
}

// pendingRequest is one request that waits for its adapter. Its channel holds one
// grant.
type pendingRequest struct {
	grant    chan enginelink.Grant
	priority int
	// usefulUntil is until when a grant still lets the answer be in time.
	usefulUntil time.Time
	pin         *pin
}

// pendingLoad is an adapter that requests wait for.
type pendingLoad struct {
	key      sandbarrow.AdapterKey
	since    time.Time
	version  sandbarrow.AdapterVersion
	requests []*pendingRequest
}

// value decides how much a load for these requests brings now; the queue loads the
// most valuable first.
//
// Inputs: the priority of each waiting request, 0 for the most urgent, and until
// when a grant lets its answer be in time. Urgent requests count more, and those
// that can't be in time any more count less, so that an overload does not make all
// of them late.
func (w *pendingLoad) value(now time.Time) float64 {
	var sum float64
	for _, one := range w.requests {
		worth := 1 / (1 + priorityStep*float64(one.priority))
		if now.After(one.usefulUntil) {
			worth *= lateWorth
		}
		sum += worth
	}
	return sum
}

// order is the order to load the adapter.
func (w *pendingLoad) order() sandbarrow.EngineOrder {
	return sandbarrow.EngineOrder{Adapter: w.key.Adapter, Load: true, Model: w.key.Model, Version: w.version}
}
