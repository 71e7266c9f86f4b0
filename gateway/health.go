package gateway

import (
	"sync"
	"time"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/health"
	"sandbarrow.example/sandbarrow/internal/boottime"
)

// upstreamHealth is what the outcomes of this gateway's requests show of the upstreams. It is
// safe for concurrent use.
type upstreamHealth struct {
	mu    sync.Mutex
	table health.Table
}

// begin counts a request that is sent.
func (h *upstreamHealth) begin(id sandbarrow.InstanceID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.table.Begin(boottime.Now(), id)
}

// end counts the outcome of a request.
func (h *upstreamHealth) end(id sandbarrow.InstanceID, failed bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.table.End(boottime.Now(), id, failed)
}

// look returns the requests in flight from here and the price of failures.
func (h *upstreamHealth) look(now time.Time, id sandbarrow.InstanceID) (int, time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.table.Look(now, id)
}
