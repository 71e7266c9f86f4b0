package gateway

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"sandbarrow.example/sandbarrow/enginelink"
)

func TestStreamPosition(t *testing.T) {
	for name, tc := range map[string]struct {
		last string
		next string
		want bool
	}{
		"first event":          {"", "id: 1\ndata: x\n\n", true},
		"next event":           {"4", "id: 5\ndata: x\n\n", true},
		"an event is missing":  {"4", "id: 6\ndata: x\n\n", false},
		"event again":          {"4", "id: 4\ndata: x\n\n", false},
		"id is not a number":   {"4", "id: x\ndata: x\n\n", true},
		"event without an id":  {"4", "data: x\n\n", true},
		"after a foreign id":   {"x", "id: 9\ndata: x\n\n", true},
		"not of the same sign": {"0", "id: -1\ndata: x\n\n", false},
	} {
		p := streamPosition{lastEvent: tc.last}
		assert.Equal(t, p.isNext([]byte(tc.next)), tc.want, name)
		assert.Equal(t, p.lastEvent, tc.last, name)
	}
}

func TestStreamPositionAfterEventWithoutID(t *testing.T) {
	p := streamPosition{lastEvent: "4"}
	p.advance([]byte("data: x\n\n"))
	assert.Equal(t, p, streamPosition{lastEvent: "4", unnumbered: true})
	p = streamPosition{lastEvent: "4"}
	p.advance([]byte(": comment\n\n"))
	assert.Equal(t, p, streamPosition{lastEvent: "4"})
	p.advance([]byte("id: 5\ndata: x\n\n"))
	assert.Equal(t, p, streamPosition{lastEvent: "5"})
}

// upgrade lists an engine with other software and waits until the gateway knows it.
func (f *fleet) upgrade(t *testing.T, r *runner) {
	r.set(func() { r.software = "v2" })
	f.list(t, r, f.addressOf(r), false)
	eventually(t, func() bool {
		in := f.gateway.directory.View().At(f.addressOf(r))
		return in != nil && in.Software == "v2"
	})
}

// breakAttempts makes the first attempt at any engine break off after cut events, if cut is not
// negative. The next attempt reaches an engine that has other software by its first event.
func (f *fleet) breakAttempts(t *testing.T, cut int) {
	turn := 0
	if cut < 0 {
		turn++
	}
	for _, r := range f.runners {
		r.set(func() {
			r.cutAfter = -1
			r.respond = func(w http.ResponseWriter, q *http.Request) {
				turn++
				switch turn {
				case 1:
					r.stream(w, q, cut)
				case 2:
					f.upgrade(t, r)
				}
				r.stream(w, q, -1)
			}
		})
	}
}

func eventsAfter(last int) string {
	all := strings.SplitAfter(allEvents(), "\n\n")
	return strings.Join(all[last:], "")
}

// An event that was read and not written must not be skipped by the next attempt.
func TestNextAttemptBringsEventThatWasNotWritten(t *testing.T) {
	for name, tc := range map[string]struct {
		attempts int
		// resumedAfter is the event after which the caller resumes; 0 for a stream from its start.
		resumedAfter int
		// cut is how many events the first attempt brings before it breaks off; -1 leaves it out.
		cut int
	}{
		"second event":                         {2, 1, -1},
		"event in the middle":                  {2, 2, -1},
		"last event":                           {2, testEvents - 1, -1},
		"within one response":                  {3, 0, 2},
		"last event within one response":       {3, 0, testEvents - 1},
		"resumed by caller and by the gateway": {3, 2, 1},
	} {
		t.Run(name, func(t *testing.T) {
			f := newVersionedFleet(t, "v1", "v1", "v1")
			r := streamRoute(true)
			r.MaxAttempts = tc.attempts
			f.configure(t, r)
			// Before it knows the number of gateways, a gateway may make one retry only.
			eventually(t, func() bool { return f.gateway.engines.gateways() > 0 })
			f.breakAttempts(t, tc.cut)
			var got testResponse
			if tc.resumedAfter == 0 {
				got = f.send(t.Context(), http.MethodPost, "/s/", adapterHeader)
			} else {
				f.gateway.origins.Record(enginelink.StreamBegan{ID: "r1", LifetimeMS: 5000, Service: testEngines, Software: "v1"})
				got = f.resume(t, "r1", strconv.Itoa(tc.resumedAfter))
			}
			assert.NilError(t, got.err)
			assert.Equal(t, got.status, http.StatusOK)
			assert.Equal(t, got.body, eventsAfter(tc.resumedAfter))
		})
	}
}

// The end of a stream counts only from an upstream that may bring its events.
func TestEndOfStreamAtOtherSoftwareIsNoEnd(t *testing.T) {
	f := newVersionedFleet(t, "v1", "v1")
	turn := 0
	for _, r := range f.runners {
		r.set(func() {
			r.respond = func(w http.ResponseWriter, q *http.Request) {
				if turn++; turn == 1 {
					r.stream(w, q, 2)
				}
				f.upgrade(t, r)
				w.Header().Set("Content-Type", streamMediaType)
			}
		})
	}
	got := f.send(t.Context(), http.MethodPost, "/s/", adapterHeader)
	assert.Assert(t, got.err != nil, "a stream without its last events looked complete: %q", got.body)
}

// Without the id of the last event no upstream can tell where a stream goes on.
func TestStreamIsNotContinuedAfterEventWithoutID(t *testing.T) {
	f := newVersionedFleet(t, "v1", "v1")
	for _, r := range f.runners {
		r.set(func() {
			r.respond = func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Type", streamMediaType)
				_, _ = io.WriteString(w, "id: 1\ndata: event\n\ndata: event\n\n")
				_ = http.NewResponseController(w).Flush()
				panic(http.ErrAbortHandler)
			}
		})
	}
	got := f.send(t.Context(), http.MethodPost, "/s/", adapterHeader)
	assert.Assert(t, got.err != nil)
	assert.Equal(t, f.runsOf("v1"), 1)
}
