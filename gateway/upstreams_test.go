package gateway

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/forward"
	"sandbarrow.example/sandbarrow/internal/boottime"
	"sandbarrow.example/sandbarrow/platform"
	"sandbarrow.example/sandbarrow/route"
)

func TestUpstreamThatAnnouncesItsDrainGetsNothingMore(t *testing.T) {
	f := newFleet(t, 0, 2)
	f.configure(t, plainRoute(route.KindSafe))
	drains, other := f.runners[0], f.runners[1]
	drains.set(func() { drains.announced.Draining = "1" })
	for range 30 {
		assert.Equal(t, f.send(t.Context(), http.MethodGet, "/p/x", nil).status, http.StatusOK)
	}
	assert.Assert(t, len(drains.runs()) <= 1 && len(other.runs()) >= 29, "%d and %d", len(drains.runs()), len(other.runs()))
}

func TestRefusalSaysWhenUpstreamsAcceptRequestsAgain(t *testing.T) {
	f := newFleet(t, 0, 2)
	f.configure(t, plainRoute(route.KindSafe))
	for _, r := range f.runners {
		r.set(func() { r.refuse, r.announced.Backoff = true, "2.5" })
	}
	began := time.Now()
	for range 5 {
		sent := time.Now()
		got := f.send(t.Context(), http.MethodGet, "/p/x", nil)
		assert.Equal(t, got.status, http.StatusServiceUnavailable)
		assert.Equal(t, got.body, string(reasonUpstreamBackoff)+"\n")
		seconds, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
		assert.NilError(t, err)
		again := time.Now().Add(time.Duration(seconds * float64(time.Second)))
		assert.Assert(t, again.After(began.Add(2500*time.Millisecond)) && again.Before(sent.Add(3700*time.Millisecond)), "%v", seconds)
	}
	for _, r := range f.runners {
		r.mu.Lock()
		assert.Equal(t, len(r.got), 1)
		r.mu.Unlock()
	}
}

func TestAnotherInstancesAnnouncementIsNotCounted(t *testing.T) {
	f := newFleet(t, 0, 1)
	f.configure(t, plainRoute(route.KindSafe))
	r := f.runners[0]
	r.set(func() { r.announced.Draining, r.says = "1", "another" })
	for range 3 {
		assert.Equal(t, f.send(t.Context(), http.MethodGet, "/p/x", nil).status, http.StatusOK)
	}
	assert.Equal(t, len(r.runs()), 3)
}

func TestWaitEndsOnceTheUpstreamAcceptsNoRequests(t *testing.T) {
	for _, texts := range []sandbarrow.RawNotice{{Draining: "1"}, {Backoff: "1"}} {
		g := newLoneGateway()
		g.config.Announcements = platform.Announcements{}
		in := &sandbarrow.Instance{ID: "u@1"}
		stopped := map[string]bool{}
		waits := &call{gateway: g}
		end := g.upstreams.await(in.ID, waits, func() { stopped["waits"] = true })
		g.upstreams.await(in.ID, &call{gateway: g}, func() { stopped["has waited"] = true })()
		defer g.upstreams.await("v@1", waits, func() { stopped["elsewhere"] = true })()
		h := http.Header{}
		platform.Announcements{}.Write(h, texts)
		g.upstreams.observe(in, boottime.Now(), &forward.Answer{Header: h, Status: http.StatusServiceUnavailable})
		assert.DeepEqual(t, stopped, map[string]bool{"waits": true})
		end()
		assert.Equal(t, len(g.upstreams.waiting), 1)
	}
}
