package gateway

import (
	"sync"
	"time"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/internal/boottime"
	"sandbarrow.example/sandbarrow/internal/decay"
)

// The weights of failures in the choice of an upstream.
const (
	// failureHalfLife is the time in which the memory of failures halves: an upstream
	// that failed is tried again within seconds.
	failureHalfLife = 3 * time.Second
	// failureWeight is how far each answer moves the share of failures.
	failureWeight = 0.25
	// failurePenalty is the price of an upstream that always fails: more than a load
	// and a late answer together, so that any other one goes before it.
	failurePenalty = 2 * time.Second
)

// upstreamHealth is what the answers of one upstream show.
type upstreamHealth struct {
	at       time.Time
	failures float64
	inFlight int
}

// health keeps the health of upstreams by the outcomes of real requests alone: the
// users' health checks can be wrong either way. It is safe for concurrent use.
type health struct {
	mu        sync.Mutex
	upstreams map[sandbarrow.InstanceID]*upstreamHealth
}

func newHealth() *health {
	return &health{upstreams: map[sandbarrow.InstanceID]*upstreamHealth{}}
}

// of returns the health of an upstream. The caller holds mu.
func (h *health) of(id sandbarrow.InstanceID) *upstreamHealth {
	u := h.upstreams[id]
	if u == nil {
		u = &upstreamHealth{}
		h.upstreams[id] = u
	}
	return u
}

// share is the decayed share of failures from 0 to 1.
func (u *upstreamHealth) share(now time.Time) float64 {
	return u.failures * decay.Factor(now.Sub(u.at), failureHalfLife)
}

// begin counts a request that is sent.
func (h *health) begin(id sandbarrow.InstanceID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.of(id).inFlight++
}

// end counts the outcome of a request.
func (h *health) end(id sandbarrow.InstanceID, failed bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	u := h.of(id)
	u.inFlight--
	now := boottime.Now()
	share := u.share(now) * (1 - failureWeight)
	if failed {
		share += failureWeight
	}
	u.failures, u.at = share, now
}

// look returns the requests in flight from here and the penalty for failures.
func (h *health) look(now time.Time, id sandbarrow.InstanceID) (int, time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	u := h.upstreams[id]
	if u == nil {
		return 0, 0
	}
	return u.inFlight, time.Duration(u.share(now) * float64(failurePenalty))
}
