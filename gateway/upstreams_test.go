package gateway

import (
	"fmt"
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

func TestUpstreamWithDrainNoticeGetsNoMoreRequests(t *testing.T) {
	f := newFleet(t, 0, 2)
	f.configure(t, plainRoute(route.KindSafe))
	draining, other := f.runners[0], f.runners[1]
	draining.set(func() { draining.notice.Draining = "1" })
	for range 30 {
		assert.Equal(t, f.send(t.Context(), http.MethodGet, "/p/x", nil).status, http.StatusOK)
	}
	assert.Assert(t, len(draining.runs()) <= 1 && len(other.runs()) >= 29, "%d requests at the draining upstream, %d at the other one", len(draining.runs()), len(other.runs()))
}

func TestBackoffRefusalSetsRetryAfter(t *testing.T) {
	f := newFleet(t, 0, 2)
	f.configure(t, plainRoute(route.KindSafe))
	for _, r := range f.runners {
		r.set(func() { r.refuse, r.notice.Backoff = true, "2.5" })
	}
	began := time.Now()
	for range 5 {
		sent := time.Now()
		got := f.send(t.Context(), http.MethodGet, "/p/x", nil)
		assert.Equal(t, got.status, http.StatusServiceUnavailable)
		assert.Equal(t, got.body, string(reasonUpstreamBackoff)+"\n")
		seconds, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
		assert.NilError(t, err)
		retryAt := time.Now().Add(time.Duration(seconds * float64(time.Second)))
		assert.Assert(t, retryAt.After(began.Add(2500*time.Millisecond)) && retryAt.Before(sent.Add(3700*time.Millisecond)), "%v", seconds)
	}
	for _, r := range f.runners {
		r.mu.Lock()
		assert.Equal(t, len(r.got), 1)
		r.mu.Unlock()
	}
}

func TestNoticeOfAnotherInstanceIsIgnored(t *testing.T) {
	f := newFleet(t, 0, 1)
	f.configure(t, plainRoute(route.KindSafe))
	r := f.runners[0]
	r.set(func() { r.notice.Draining, r.claimedInstance = "1", "another" })
	for range 3 {
		assert.Equal(t, f.send(t.Context(), http.MethodGet, "/p/x", nil).status, http.StatusOK)
	}
	assert.Equal(t, len(r.runs()), 3)
}

func TestWaitIsCancelledOnceDomainIsEvacuated(t *testing.T) {
	g := newLoneGateway()
	stopped := map[string]bool{}
	for id, domain := range map[sandbarrow.InstanceID]sandbarrow.FailureDomain{"u@1": "a", "v@1": "a", "w@1": "b"} {
		defer g.upstreams.cancelWhenBlocked(&sandbarrow.Instance{FailureDomain: domain, ID: id}, &call{gateway: g}, func() { stopped[string(id)] = true })()
	}
	g.upstreams.cancelWaitsIn("a")
	assert.DeepEqual(t, stopped, map[string]bool{"u@1": true, "v@1": true})
}

func TestWaitIsCancelledOnceUpstreamIsBlocked(t *testing.T) {
	for _, notice := range []sandbarrow.RawNotice{{Draining: "1"}, {Backoff: "1"}} {
		g := newLoneGateway()
		g.config.UpstreamNotices = platform.UpstreamNotices{}
		in := &sandbarrow.Instance{ID: "u@1"}
		stopped := map[string]bool{}
		waitingCall := &call{gateway: g}
		end := g.upstreams.cancelWhenBlocked(in, waitingCall, func() { stopped["waiting"] = true })
		g.upstreams.cancelWhenBlocked(in, &call{gateway: g}, func() { stopped["no longer waiting"] = true })()
		defer g.upstreams.cancelWhenBlocked(&sandbarrow.Instance{ID: "v@1"}, waitingCall, func() { stopped["at another upstream"] = true })()
		h := http.Header{}
		platform.UpstreamNotices{}.Write(h, notice)
		g.upstreams.observeResponse(in, boottime.Now(), &forward.UpstreamResponse{Header: h, Status: http.StatusServiceUnavailable})
		assert.DeepEqual(t, stopped, map[string]bool{"waiting": true})
		end()
		assert.Equal(t, len(g.upstreams.waiting), 1)
	}
}

// Guards against waits at upstreams that the list shows as no longer accepting requests.
func TestWaitIsCancelledByTheList(t *testing.T) {
	entry := func(id, text string) sandbarrow.KeyItem {
		return sandbarrow.KeyItem{Key: "up/" + id, Revision: 2, Value: []byte(text)}
	}
	g := newLoneGateway()
	var items []sandbarrow.KeyItem
	for _, id := range []string{"draining", "gone", "accepting", "restarted"} {
		items = append(items, sandbarrow.KeyItem{Key: "up/" + id, Revision: 1, Value: fmt.Appendf(nil, `{"Address":%q,"ID":"%s@1","Service":"s"}`, id, id)})
	}
	list := sharedList{g}
	list.Replace(items, 1)
	stopped := map[sandbarrow.InstanceID]bool{}
	for _, in := range g.directory.View().All() {
		defer g.upstreams.cancelWhenBlocked(in, &call{gateway: g}, func() { stopped[in.ID] = true })()
	}
	list.Update(nil, 1)
	assert.Equal(t, len(stopped), 0)
	list.Update([]sandbarrow.KeyItem{
		entry("draining", `{"Address":"draining","ID":"draining@1","Service":"s","Draining":true}`),
		entry("restarted", `{"Address":"restarted","ID":"restarted@2","Service":"s"}`),
		entry("accepting", `{"Address":"accepting","ID":"accepting@1","Service":"s","Slots":3}`),
		{Deleted: true, Key: "up/gone", Revision: 2},
	}, 2)
	assert.DeepEqual(t, stopped, map[sandbarrow.InstanceID]bool{"draining@1": true, "gone@1": true, "restarted@1": true})
}
