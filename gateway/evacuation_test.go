package gateway

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/availability"
	"sandbarrow.example/sandbarrow/internal/boottime"
	"sandbarrow.example/sandbarrow/route"
)

// place lists the runners in failure domains, one for each in order.
func (f *fleet) place(t *testing.T, domains ...sandbarrow.FailureDomain) {
	t.Helper()
	for i, r := range f.runners {
		for _, in := range f.gateway.directory.View().Service(r.service) {
			if in.ID == r.id {
				f.put(t, "up/"+string(r.id), sandbarrow.Instance{Address: in.Address, FailureDomain: domains[i], ID: r.id, Service: r.service, Slots: in.Slots})
			}
		}
	}
	eventually(t, func() bool {
		for i, r := range f.runners {
			in := f.gateway.directory.View().Find(&sandbarrow.Instance{ID: r.id, Service: r.service})
			if in == nil || in.FailureDomain != domains[i] {
				return false
			}
		}
		return true
	})
}

// evacuate begins or ends the evacuation of a failure domain, and waits until the gateway knows.
func (f *fleet) evacuate(t *testing.T, domain sandbarrow.FailureDomain, begin bool) {
	t.Helper()
	change := sandbarrow.Transaction{Remove: []string{"op/evacuate/" + string(domain)}}
	if begin {
		change = sandbarrow.Transaction{Put: map[string][]byte{"op/evacuate/" + string(domain): []byte("{}")}}
	}
	_, err := f.store.Commit(t.Context(), change)
	assert.NilError(t, err)
	eventually(t, func() bool { return f.gateway.estate.View().Evacuated(domain) == begin })
}

func TestEvacuatedDomainGetsNoRequests(t *testing.T) {
	f := newFleet(t, 2, 2)
	f.configure(t, plainRoute(route.KindSafe), streamRoute(true))
	f.place(t, "a", "b", "a", "b")
	f.evacuate(t, "a", true)
	for range 10 {
		f.sendBoth(t)
	}
	assert.Equal(t, len(f.runners[0].runs())+len(f.runners[2].runs()), 0)
	assert.Equal(t, len(f.runners[1].runs())+len(f.runners[3].runs()), 20)
	f.evacuate(t, "a", false)
	f.evacuate(t, "b", true)
	for range 10 {
		f.sendBoth(t)
	}
	assert.Equal(t, len(f.runners[1].runs())+len(f.runners[3].runs()), 20)
}

// sendBoth sends one request to an engine and one to a plain service.
func (f *fleet) sendBoth(t *testing.T) {
	t.Helper()
	stream := f.send(t.Context(), http.MethodPost, "/s/x", map[string]string{testNames.Model: string(testModel) + "/a1"})
	assert.Equal(t, stream.status, http.StatusOK, stream.body)
	plain := f.send(t.Context(), http.MethodGet, "/p/x", nil)
	assert.Equal(t, plain.status, http.StatusOK, plain.body)
}

func TestRequestIsRefusedAtOnceIfAllDomainsAreEvacuated(t *testing.T) {
	f := newFleet(t, 2, 1)
	f.configure(t, plainRoute(route.KindSafe), streamRoute(true))
	f.place(t, "a", "b", "a")
	f.evacuate(t, "a", true)
	f.evacuate(t, "b", true)
	for path, header := range map[string]map[string]string{"/s/x": {testNames.Model: string(testModel) + "/a1"}, "/p/x": nil} {
		began := time.Now()
		got := f.send(t.Context(), http.MethodPost, path, header)
		assert.Equal(t, got.status, http.StatusServiceUnavailable, path)
		assert.Equal(t, got.body, string(reasonEvacuated)+"\n", path)
		retryIn, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
		assert.NilError(t, err)
		assert.Assert(t, retryIn >= evacuatedRetryAfter.Seconds()/2, "%s: Retry-After %v", path, retryIn)
		assert.Assert(t, time.Since(began) < maxEnginesWait/2, "%s: refused after %v", path, time.Since(began))
	}
	f.evacuate(t, "a", false)
	f.sendBoth(t)
}

func TestRequestIsNotSentOnceItsDomainIsEvacuated(t *testing.T) {
	f := newFleet(t, 1, 0)
	f.configure(t, streamRoute(true))
	f.place(t, "a")
	in := f.gateway.directory.View().Service(testEngines)[0]
	assert.Assert(t, f.gateway.upstreams.accepts(in))
	f.evacuate(t, "a", true)
	assert.Assert(t, !f.gateway.upstreams.accepts(in), "a request that has chosen the engine before")
	assert.Equal(t, f.gateway.upstreams.check(boottime.Now(), in, availability.Report{}).Blocked, availability.Evacuated)
}
