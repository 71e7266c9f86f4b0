package gateway

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/enginelink"
	"sandbarrow.example/sandbarrow/internal/boottime"
)

// newVersionedFleet starts engines of the given software versions. Streams break off after two events.
func newVersionedFleet(t *testing.T, versions ...sandbarrow.SoftwareVersion) *fleet {
	t.Helper()
	f := newFleet(t, len(versions), 0)
	for i, v := range versions {
		r := f.runners[i]
		r.set(func() { r.software, r.cutAfter = v, 2 })
		f.list(t, r, f.addressOf(r), false)
	}
	f.configure(t, streamRoute(true))
	f.awaitSoftware(t)
	return f
}

// addressOf returns the address of an engine.
func (f *fleet) addressOf(r *runner) string {
	for address, other := range f.addresses {
		if other == r {
			return address
		}
	}
	return ""
}

// awaitSoftware waits until the gateway knows the software versions of all engines.
func (f *fleet) awaitSoftware(t *testing.T) {
	t.Helper()
	eventually(t, func() bool {
		for _, r := range f.runners {
			in := f.gateway.directory.View().At(f.addressOf(r))
			if in == nil || in.Software != r.software {
				return false
			}
		}
		return true
	})
}

// healAll makes the engines complete all streams from now on.
func (f *fleet) healAll() {
	for _, r := range f.runners {
		r.set(func() { r.cutAfter = -1 })
	}
}

// runsOf returns the number of runs at engines of a software version.
func (f *fleet) runsOf(v sandbarrow.SoftwareVersion) int {
	n := 0
	for _, r := range f.runners {
		if r.software == v {
			n += len(r.runs())
		}
	}
	return n
}

// resume sends the request that resumes the stream of a request after an event.
func (f *fleet) resume(t *testing.T, first, lastEvent string) testResponse {
	t.Helper()
	header := map[string]string{testNames.RequestID: "again", testNames.LastEvent: lastEvent}
	for name, value := range adapterHeader {
		header[name] = value
	}
	if first != "" {
		header[testNames.Resumes] = first
	}
	return f.send(t.Context(), http.MethodPost, "/s/", header)
}

func TestBrokenStreamIsNotContinuedAtOtherSoftware(t *testing.T) {
	f := newVersionedFleet(t, "v1", "v2", "v3")
	began := time.Now()
	got := f.send(t.Context(), http.MethodPost, "/s/", adapterHeader)
	assert.Assert(t, got.err != nil, "a stream that can't go on looked complete")
	assert.Assert(t, time.Since(began) < time.Second)
	assert.Equal(t, f.runsOf("v1")+f.runsOf("v2")+f.runsOf("v3"), 1)
}

func TestCallerResumesAtSameSoftwareAtAnotherGateway(t *testing.T) {
	f := newVersionedFleet(t, "v1", "v2", "v1", "v2")
	for _, r := range f.runners {
		r.set(func() { r.cutAfter = 0 }) // the second attempt breaks before an event
	}
	healed := f.runners[0]
	healed.set(func() { healed.cutAfter = 2 })
	for len(healed.runs()) == 0 || healed.cutAfter == 0 {
		f.send(t.Context(), http.MethodPost, "/s/", adapterHeader)
	}
	other := f.runsOf("v2")
	f.moveToNewGateway(t)
	f.healAll()
	for range 4 {
		got := f.resume(t, "r1", "2")
		assert.NilError(t, got.err)
		assert.Equal(t, got.status, http.StatusOK)
	}
	assert.Equal(t, f.runsOf("v2"), other)
}

func TestStreamOfUnknownOriginIsRefused(t *testing.T) {
	f := newVersionedFleet(t, "v1", "v1", "v2")
	f.healAll()
	for name, first := range map[string]string{"never seen": "another", "not named": ""} {
		got := f.resume(t, first, "2")
		assert.Equal(t, got.status, http.StatusServiceUnavailable, name)
		assert.Equal(t, got.body, string(reasonUnknownStream)+"\n", name)
	}
	assert.Equal(t, f.runsOf("v1")+f.runsOf("v2"), 0)
}

func TestUnnamedStreamIsResumedWhileOneSoftwareVersionIsKnown(t *testing.T) {
	f := newVersionedFleet(t, "v1", "v1")
	f.healAll()
	assert.Equal(t, f.resume(t, "", "2").status, http.StatusOK)
	f.gateway.origins.Record(enginelink.StreamBegan{ID: "r1", LifetimeMS: 5000, Service: testEngines, Software: "v0"})
	f.moveToNewGateway(t)
	eventually(t, func() bool { return f.resume(t, "", "2").status == http.StatusServiceUnavailable })
}

func TestUnnamedStreamOfSoftwareThatLeftIsRefusedAfterRestart(t *testing.T) {
	f := newVersionedFleet(t, "v2", "v2", "v2", "v2", "v2", "v2", "v2", "v2")
	f.healAll()
	f.gateway.origins.Record(enginelink.StreamBegan{ID: "r1", LifetimeMS: 10_000, Service: testEngines, Software: "v1"})
	f.moveToNewGateway(t)
	for i := range 30 {
		header := map[string]string{testNames.RequestID: fmt.Sprintf("again-%d", i), testNames.LastEvent: "2"}
		for name, value := range adapterHeader {
			header[name] = value
		}
		got := f.send(t.Context(), http.MethodPost, "/s/", header)
		assert.Check(t, got.status == http.StatusServiceUnavailable, "take-up %d got %d", i, got.status)
	}
}

func TestResumeIsRefusedAtOnceWithoutUpstreamOfItsSoftware(t *testing.T) {
	f := newVersionedFleet(t, "v1", "v2")
	f.gateway.origins.Record(enginelink.StreamBegan{ID: "r1", LifetimeMS: 5000, Service: testEngines, Software: "v3"})
	f.moveToNewGateway(t)
	began := time.Now()
	got := f.resume(t, "r1", "2")
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Equal(t, got.body, string(reasonOtherSoftware)+"\n")
	assert.Assert(t, got.header.Get("Retry-After") != "")
	assert.Assert(t, time.Since(began) < 300*time.Millisecond, "%v", time.Since(began))
	assert.Equal(t, f.runsOf("v1")+f.runsOf("v2"), 0)
}

func TestResumeDoesNotWaitForUnreachableUpstreamOfItsSoftware(t *testing.T) {
	f := newVersionedFleet(t, "v1", "v2")
	f.healAll()
	f.gateway.origins.Record(enginelink.StreamBegan{ID: "r1", LifetimeMS: 5000, Service: testEngines, Software: "v1"})
	f.runners[0].set(func() { f.runners[0].silent = true })
	eventually(t, func() bool {
		status, _ := f.gateway.engines.link(f.addressOf(f.runners[0])).lastStatus(boottime.Now())
		return status.EngineUnreachable
	})
	began := time.Now()
	assert.Equal(t, f.resume(t, "r1", "2").status, http.StatusServiceUnavailable)
	assert.Assert(t, time.Since(began) < 300*time.Millisecond, "%v", time.Since(began))
	assert.Equal(t, f.runsOf("v1")+f.runsOf("v2"), 0)
}

func TestResumeGoesOnOnlyAtServiceOfOrigin(t *testing.T) {
	f := newVersionedFleet(t, "v1")
	f.healAll()
	f.gateway.origins.Record(enginelink.StreamBegan{ID: "r1", LifetimeMS: 5000, Service: "another", Software: "v1"})
	got := f.resume(t, "r1", "2")
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Equal(t, f.runsOf("v1"), 0)
}

func TestUpgradedEngineUnderItsIDDoesNotResume(t *testing.T) {
	f := newVersionedFleet(t, "v1")
	f.send(t.Context(), http.MethodPost, "/s/", adapterHeader)
	f.healAll()
	before := f.runsOf("v1")
	r := f.runners[0]
	r.set(func() { r.software = "v2" })
	f.list(t, r, f.addressOf(r), false)
	f.awaitSoftware(t)
	got := f.resume(t, "r1", "2")
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Equal(t, got.body, string(reasonOtherSoftware)+"\n")
	assert.Equal(t, f.runsOf("v2"), before)
}
