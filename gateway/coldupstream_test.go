package gateway

import (
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/route"
)

// makeCold lists all runners as cold for a time.
func (f *fleet) makeCold(t *testing.T, left time.Duration) {
	t.Helper()
	for _, r := range f.runners {
		in := *f.gateway.directory.View().Find(&sandbarrow.Instance{ID: r.id, Service: r.service})
		in.ColdLeft, in.ColdUntil = left, time.Time{}
		f.put(t, "up/"+string(r.id), in)
	}
	eventually(t, func() bool {
		for _, in := range f.gateway.directory.View().All() {
			if in.ColdUntil.IsZero() != (left == 0) {
				return false
			}
		}
		return true
	})
}

func TestColdUpstreamsGetTheirRateOnly(t *testing.T) {
	const rate, callers, window = 10, 30, time.Second
	f := newFleet(t, 1, 2)
	f.coldRate = rate
	f.configure(t, plainRoute(route.KindSafe))
	f.makeCold(t, time.Minute)
	began := time.Now()
	var mu sync.Mutex
	served, refused := 0, 0
	var group sync.WaitGroup
	for range callers {
		group.Go(func() {
			for time.Since(began) < window {
				sent := time.Now()
				got := f.send(t.Context(), http.MethodGet, "/p/x", nil)
				mu.Lock()
				if got.status == http.StatusOK {
					served++
				} else {
					refused++
					retryIn, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
					assert.Check(t, got.status == http.StatusServiceUnavailable && err == nil && retryIn > 0, "status %d", got.status)
				}
				mu.Unlock()
				time.Sleep(50*time.Millisecond - time.Since(sent))
			}
		})
	}
	group.Wait()
	for _, r := range f.runners[1:] {
		assert.Assert(t, float64(len(r.runs())) <= 1.5*rate+5, "%d requests in a second", len(r.runs()))
	}
	assert.Assert(t, served >= rate, "%d served, %d refused", served, refused)
	assert.Assert(t, refused > served)
	f.makeCold(t, 0)
	for range callers {
		assert.Equal(t, f.send(t.Context(), http.MethodGet, "/p/x", nil).status, http.StatusOK, "the upstreams are warm")
	}
}
