package gateway

import (
	"context"
	"sync"

	"sandbarrow.example/sandbarrow/directory"
	"sandbarrow.example/sandbarrow/internal/boottime"
	"sandbarrow.example/sandbarrow/origin"
)

// softwareHistory knows of which services only one software version has streams that may be resumed.
// It is safe for concurrent use.
//
// The list of a gateway that has just started tells nothing of upstreams that left it before, while
// streams that began there may still be resumed: the gateways that passed them on may all have been
// killed together. Controllers outlive gateways and keep where streams began.
type softwareHistory struct {
	gateway *Gateway

	mu sync.Mutex
	// confirmed holds what the controllers have confirmed since the start.
	confirmed map[origin.Origin]bool
}

func newSoftwareHistory(g *Gateway) *softwareHistory {
	return &softwareHistory{gateway: g, confirmed: map[origin.Origin]bool{}}
}

// isOnly decides whether all streams of a service that may be resumed began with one software version,
// given that the list has no other.
//
// Inputs: the time since the start, for which the list's history reaches back; and until that is long
// enough, what all controllers but one reply, as each stream is recorded at two.
func (h *softwareHistory) isOnly(ctx context.Context, only origin.Origin) bool {
	if boottime.Since(h.gateway.started) >= directory.SoftwareRetention {
		return true
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.confirmed[only] {
		h.confirmed[only] = h.gateway.origins.IsOnlyAmong(ctx, h.gateway.engines.linkCount(), only)
	}
	return h.confirmed[only]
}
