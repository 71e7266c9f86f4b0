// Package placement chooses an upstream for each request of an entry. It owns the entry's
// cached view of the fleet: what agents report, and the requests that this entry has in
// progress. The entry updates both. Only entries use this package.
package placement

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"sandbarrow.example/sandbarrow"
)

// Info describes an upstream. It does not change while the upstream is connected.
type Info struct {
	BaseModel     sandbarrow.BaseModelID
	Box           sandbarrow.BoxID
	FailureDomain sandbarrow.FailureDomain
	ID            sandbarrow.UpstreamID
	MaxRunning    int
	Service       sandbarrow.ServiceID
}

// Load is the last reported load of an upstream. It lags behind the actual load.
type Load struct {
	LoadTime    time.Duration
	Queued      int
	Running     int
	ServiceTime time.Duration
}

// upstream is one member of a Fleet.
type upstream struct {
	available bool
	hash      uint64
	info      Info
	// inflight counts the requests sent by this entry that have not ended.
	inflight int
	load     Load
	resident map[uint64]struct{}
}

// requestCount returns the number of known requests at the upstream.
func (u *upstream) requestCount() int {
	return max(u.inflight, u.load.Running+u.load.Queued)
}

// Fleet is the cached view of the upstreams. An upstream keeps its index for good. An
// index is reused only for the same ID.
type Fleet struct {
	mu        sync.Mutex
	byID      map[sandbarrow.UpstreamID]int
	epoch     int
	ranks     map[rankKey][]uint16
	upstreams []upstream
}

// NewFleet returns an empty fleet.
func NewFleet() *Fleet {
	return &Fleet{byID: map[sandbarrow.UpstreamID]int{}, ranks: map[rankKey][]uint16{}}
}

// Add adds an upstream, or makes it available again after a disconnect, and returns its
// index.
func (f *Fleet) Add(info Info) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	i, ok := f.byID[info.ID]
	if !ok {
		i = len(f.upstreams)
		f.byID[info.ID] = i
		f.upstreams = append(f.upstreams, upstream{})
	}
	if !ok || f.upstreams[i].info != info {
		clear(f.ranks)
		f.epoch++
	}
	u := &f.upstreams[i]
	u.info = info
	u.available = true
	u.hash = xxhash.Sum64String(string(info.ID))
	u.load = Load{}
	return i
}

// Members returns the number of upstreams that were ever added, and an epoch that
// increases whenever one is added or its description changes.
func (f *Fleet) Members() (count, epoch int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.upstreams), f.epoch
}

// Begin counts a request sent to an upstream.
func (f *Fleet) Begin(i int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.upstreams[i].inflight++
}

// End counts the end of a request sent to an upstream.
func (f *Fleet) End(i int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.upstreams[i].inflight--
}

// Info returns the description of an upstream.
func (f *Fleet) Info(i int) Info {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.upstreams[i].info
}

// SetAvailable sets whether new requests may go to an upstream.
func (f *Fleet) SetAvailable(i int, available bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.upstreams[i].available = available
}

// SetLoad replaces the reported load of an upstream.
func (f *Fleet) SetLoad(i int, l Load) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.upstreams[i].load = l
}

// SetResident replaces the loaded models of an upstream, by their hashes.
func (f *Fleet) SetResident(i int, hashes []uint64) {
	resident := make(map[uint64]struct{}, len(hashes))
	for _, h := range hashes {
		resident[h] = struct{}{}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.upstreams[i].resident = resident
}

// isEligible reports whether an upstream may serve a request.
func (u *upstream) isEligible(i int, r *sandbarrow.RouteRequest) bool {
	return u.available &&
		u.info.BaseModel == r.BaseModel &&
		u.info.Service == r.Service &&
		!r.Exclude.Has(i) &&
		(r.Permitted == nil || r.Permitted.Has(i))
}

// HashModel returns the stable hash of a model for routing.
func HashModel(m sandbarrow.ModelRef) uint64 {
	return xxhash.Sum64String(m.String())
}
