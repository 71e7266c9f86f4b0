package controller

import (
	"math"
	"time"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/enginelink"
	"sandbarrow.example/sandbarrow/promptcache"
	"sandbarrow.example/sandbarrow/queueorder"
)

// pin is one request's claim on an adapter. The adapter is not unloaded until the pin is
// released. It is guarded by the controller's mu.
type pin struct {
	// responseStarted reports that the response has started, which means that the prompt
	// was prefilled.
	responseStarted bool
	// expires is when the engine has ceased to work on the request; zero if that is unknown.
	expires time.Time
	// granted reports that the pin is granted. Until then it waits.
	granted bool
	// grantedAt is when the pin was granted here; zero if a gateway reported the pin.
	grantedAt time.Time
	// gapTarget is the longest pause between two events that the route allows; 0 if there is no
	// target or it is unknown.
	gapTarget time.Duration
	key       sandbarrow.AdapterKey
	// priority is the priority of the request's route, 0 for the most urgent.
	priority int
	// prefilled reports that the prompt is known to be prefilled (gapPrefills).
	prefilled bool
	// prefilledAtGrant is the number of prompt tokens that the engine had prefilled at
	// grantedAt.
	prefilledAtGrant int
	// promptPrefixes are the prefixes of the request's prompt.
	promptPrefixes []promptcache.PromptPrefix
	// tokens is the length of the prompt, and toPrefill the part that the engine had not
	// cached at the grant.
	tokens, toPrefill int
	// weights are the versions that serve the request, known from the grant on.
	weights sandbarrow.WeightsVersion
}

// pendingRequest is a request that waits for its adapter. Its channel is buffered for one
// grant.
type pendingRequest struct {
	arrived time.Time
	grant   chan enginelink.Grant
	// held is why the prompt waited first after its adapter was loaded; empty if it did not.
	held holdReason
	// latestGrant is the last time at which a grant lets the response be complete in the time that
	// the caller has.
	latestGrant time.Time
	priority    int
	pin         *pin
}

// waiting returns what determines the order of the request.
func (r *pendingRequest) waiting() sandbarrow.Waiting {
	return sandbarrow.Waiting{Arrived: r.arrived, Priority: r.priority}
}

// pendingLoad is an adapter that requests are waiting for.
type pendingLoad struct {
	key      sandbarrow.AdapterKey
	since    time.Time
	version  sandbarrow.AdapterVersion
	requests []*pendingRequest
}

// accumulated returns the priority that the waiting requests have accumulated together. The load with the
// most goes first: it ends the wait of many callers, of urgent ones, or of those that have waited for long.
func (w *pendingLoad) accumulated(now time.Time) time.Duration {
	sum := time.Duration(0)
	for _, r := range w.requests {
		sum += queueorder.Accumulated(now, r.waiting())
	}
	return sum
}

// mostUrgent returns the priority of the most urgent waiting request.
func (w *pendingLoad) mostUrgent() int {
	most := math.MaxInt
	for _, r := range w.requests {
		most = min(most, r.priority)
	}
	return most
}

// order returns the order to load the adapter.
func (w *pendingLoad) order() sandbarrow.EngineOrder {
	return sandbarrow.EngineOrder{Adapter: w.key.Adapter, Load: true, Model: w.key.Model, Version: w.version}
}
