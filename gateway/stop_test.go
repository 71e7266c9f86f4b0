package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sandbarrow.example/sandbarrow/internal/boottime"
	"sandbarrow.example/sandbarrow/route"
)

func TestRequestThatWaitedTooLongIsNotSentInPlannedStop(t *testing.T) {
	g := newLoneGateway()
	now := boottime.Now()
	g.stopping.Store(&plannedStop{began: now.Add(-5 * time.Second), acceptsUntil: now.Add(-2 * time.Second), callsEnd: now.Add(time.Second)})
	c := &call{gateway: g}
	c.route, c.deadline = &route.Route{Kind: route.KindUnsafe}, now.Add(5*time.Second)
	assert.Equal(t, c.refusalBeforeSend(), reasonStopping)
	c.committed = true
	assert.Equal(t, c.refusalBeforeSend(), reason(""), "a stream that has begun goes on")
	c.committed, c.deadline = false, now.Add(500*time.Millisecond)
	assert.Equal(t, c.refusalBeforeSend(), reason(""))
}

func TestRunningRequestGetsResponseAtEndOfPlannedStop(t *testing.T) {
	f := newFleetWith(t, 0, 1, func(c *Config) { c.StopGrace = 1500 * time.Millisecond })
	f.configure(t, plainRoute(route.KindUnsafe))
	f.runners[0].set(func() { f.runners[0].hang = true })
	got := make(chan testResponse, 1)
	go func() { got <- f.send(t.Context(), http.MethodPost, "/p/", nil) }()
	eventually(t, func() bool { return len(f.runners[0].runs()) == 1 })
	f.stop()
	r := <-got
	assert.NilError(t, r.err)
	assert.Equal(t, r.status, http.StatusGatewayTimeout)
	assert.Equal(t, strings.TrimSpace(r.body), string(reasonStopping))
}

// slowStream writes a complete stream that lasts for a time.
func slowStream(lasts time.Duration) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set(testNames.Signature, "signed")
		for n := range testEvents {
			fmt.Fprintf(w, "id: %d\ndata: event\n\n", n+1)
			_ = http.NewResponseController(w).Flush()
			time.Sleep(lasts / testEvents)
		}
	}
}

// Guards against requests that follow a long stream at once and are cut at the end of a planned stop.
func TestRequestThatFollowsStreamInPlannedStopIsServedIfItFits(t *testing.T) {
	for name, tc := range map[string]struct {
		lasts time.Duration
		want  int
	}{
		"its deadline comes before the end": {time.Second, http.StatusOK},
		"its deadline comes after the end":  {2600 * time.Millisecond, http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 1, 1)
			f.configure(t, plainRoute(route.KindUnsafe), streamRoute(true))
			f.runners[0].set(func() { f.runners[0].respond = slowStream(tc.lasts) })
			conn, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
			assert.NilError(t, err)
			defer conn.Close()
			reader := bufio.NewReader(conn)
			request := func(path, id, model string) *http.Response {
				_, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\nContent-Length: 0\r\n%s: %s\r\n%s: %s\r\n\r\n", path, testHost, testNames.RequestID, id, testNames.Model, model)
				assert.NilError(t, err)
				response, err := http.ReadResponse(reader, nil)
				assert.NilError(t, err)
				return response
			}
			stream := request("/s/", "r1", testModel+"/a1")
			assert.Equal(t, stream.StatusCode, http.StatusOK)
			f.stop()
			_, err = io.ReadAll(stream.Body)
			assert.NilError(t, err)
			follow := request("/p/", "r2", "")
			body, err := io.ReadAll(follow.Body)
			assert.NilError(t, err)
			assert.Equal(t, follow.StatusCode, tc.want, "%s", body)
			assert.Assert(t, follow.Close, "the caller is told that the connection ends")
		})
	}
}
