package gateway

import (
	"context"
	"sync"
	"time"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/directory"
	"sandbarrow.example/sandbarrow/enginelink"
	"sandbarrow.example/sandbarrow/internal/boottime"
	"sandbarrow.example/sandbarrow/origin"
)

// softwareHistory knows of which services only one software version has streams that may be resumed.
// It is safe for concurrent use.
//
// The list of a gateway tells nothing of upstreams that left it before the gateway started, nor of
// those that were listed while it was cut off or stood still. Streams that began there may be resumed
// at any gateway. Controllers outlive gateways and keep with which versions streams began.
type softwareHistory struct {
	gateway *Gateway

	mu sync.Mutex
	// answers holds the last answer of the controllers for each service.
	answers map[sandbarrow.ServiceID]*softwareAnswer
}

// softwareAnswer is what the controllers replied to the last question about a service.
type softwareAnswer struct {
	mu sync.Mutex
	// asked is when the question was sent.
	asked  time.Time
	only   origin.Origin
	isOnly bool
}

func newSoftwareHistory(g *Gateway) *softwareHistory {
	return &softwareHistory{gateway: g, answers: map[sandbarrow.ServiceID]*softwareAnswer{}}
}

// isOnly decides whether all streams of a service that may be resumed began with one software version,
// given that the list has no other.
//
// Inputs: what peers have told this gateway; what all controllers but one reply, as each stream is
// recorded at two and each version at all; or, if the list has no controllers, the time since the
// start, for which the list's history reaches back, and what some peers reply.
func (h *softwareHistory) isOnly(ctx context.Context, id sandbarrow.RequestID, only origin.Origin) bool {
	if h.gateway.ownOrigins.Find(enginelink.FindStream{Service: only.Service, Software: only.Software}).Others {
		return false
	}
	if h.gateway.engines.linkCount() == 0 {
		return boottime.Since(h.gateway.started) >= directory.SoftwareRetention && h.gateway.origins.IsOnly(ctx, id, only)
	}
	return h.askControllers(ctx, only)
}

// askControllers asks all controllers. Requests that arrive while a question is on its way share the
// next one: an answer holds for streams that broke off before the question, and for no other.
func (h *softwareHistory) askControllers(ctx context.Context, only origin.Origin) bool {
	arrived := boottime.Now()
	a := h.answerFor(only.Service)
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.only == only && a.asked.After(arrived) {
		return a.isOnly
	}
	a.asked, a.only = boottime.Now(), only
	a.isOnly = h.gateway.origins.IsOnlyAmong(context.WithoutCancel(ctx), h.gateway.engines.linkCount(), only)
	return a.isOnly
}

func (h *softwareHistory) answerFor(id sandbarrow.ServiceID) *softwareAnswer {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.answers[id] == nil {
		h.answers[id] = &softwareAnswer{}
	}
	return h.answers[id]
}
