package standin

import (
	"net/http"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// WeightLimits are the speed and the rate limit of a WeightStore.
type WeightLimits struct {
	// Load is the duration of one load at full speed.
	Load time.Duration
	// Parallel is the maximum number of concurrent loads at full speed; more slow each other down.
	Parallel int
	// PerSecond is the maximum rate of loads; calls above it get status 429.
	PerSecond float64
}

// WeightStore is a stand-in for the rate-limited store of adapter weights.
type WeightStore struct {
	faultSwitch
	active  atomic.Int64
	handler http.Handler
	limit   *rate.Limiter
	limits  WeightLimits
}

// NewWeightStore returns a weight store that has weights under every name.
func NewWeightStore(l WeightLimits) *WeightStore {
	s := &WeightStore{limits: l, limit: newLimiter(l.PerSecond)}
	s.handler = s.wrap(http.HandlerFunc(s.serve))
	return s
}

// ServeHTTP serves the weights.
func (s *WeightStore) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.handler.ServeHTTP(w, r) }

func (s *WeightStore) serve(w http.ResponseWriter, r *http.Request) {
	if !s.limit.Allow() {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "load rate exceeded", http.StatusTooManyRequests)
		return
	}
	active := s.active.Add(1)
	defer s.active.Add(-1)
	slowdown := max(1, float64(active)/float64(max(1, s.limits.Parallel)))
	select {
	case <-time.After(time.Duration(float64(s.limits.Load) * slowdown)):
		_, _ = w.Write([]byte("weights"))
	case <-r.Context().Done():
	}
}
