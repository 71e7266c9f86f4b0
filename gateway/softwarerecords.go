package gateway

import (
	"maps"
	"sync"
	"time"

	"sandbarrow.example/sandbarrow/internal/boottime"
	"sandbarrow.example/sandbarrow/origin"
)

// softwareRenewal is how much longer than its stream a record of a software version is kept. The streams
// that begin meanwhile need no further one.
const softwareRenewal = 10 * time.Second

// softwareRecords tells all controllers with which software versions streams began. The two keepers of a
// stream may be unknown to a gateway whose list is behind: controllers join together with upstreams. It
// is safe for concurrent use.
type softwareRecords struct {
	gateway *Gateway

	mu sync.Mutex
	// until holds how long the controllers keep each record.
	until map[origin.Origin]time.Time
}

func newSoftwareRecords(g *Gateway) *softwareRecords {
	return &softwareRecords{gateway: g, until: map[origin.Origin]time.Time{}}
}

// record tells all controllers that a stream began that may be resumed for a time, unless they know it
// for long enough. Other streams wait meanwhile, as none may begin before they know it.
func (s *softwareRecords) record(began origin.Origin, lifetime time.Duration) {
	lifetime = min(lifetime, origin.MaxLifetime-softwareRenewal)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := boottime.Now()
	if s.until[began].After(now.Add(lifetime)) {
		return
	}
	maps.DeleteFunc(s.until, func(_ origin.Origin, until time.Time) bool { return until.Before(now) })
	if s.gateway.origins.RecordSoftware(began, lifetime+softwareRenewal) > 0 {
		s.until[began] = now.Add(lifetime + softwareRenewal)
	}
}
