package gateway

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	dto "github.com/prometheus/client_model/go"
	"gotest.tools/v3/assert"

	"sandbarrow.example/sandbarrow/forward"
	"sandbarrow.example/sandbarrow/route"
)

// serveRaw sends a text as the response, and closes or resets the connection.
func serveRaw(w http.ResponseWriter, text string, reset bool) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(err) // the server supports it
	}
	defer conn.Close()
	if _, err := conn.Write([]byte(text)); err == nil && reset {
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
}

// newFleetFor starts a fleet of one engine or one plain upstream, and returns what reaches it.
func newFleetFor(t *testing.T, engine bool) (f *fleet, path string, header map[string]string) {
	t.Helper()
	if engine {
		f = newFleet(t, 1, 0)
		f.configure(t, streamRoute(false))
		return f, "/s/", adapterHeader
	}
	f = newFleet(t, 0, 1)
	f.configure(t, plainRoute(route.KindUnsafe))
	return f, "/p/", nil
}

func TestResponseThatBreaksOffInItsHeadIsNotPassedOn(t *testing.T) {
	frames := map[string]string{
		"with a length":    "Content-Length: 5\r\n\r\nhello",
		"in chunks":        "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
		"without a length": "\r\nhello",
		"closed after it":  "Connection: close\r\nContent-Length: 5\r\n\r\nhello",
	}
	for name, frame := range frames {
		for _, engine := range []bool{false, true} {
			for _, reset := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s/engine=%v/reset=%v", name, engine, reset), func(t *testing.T) {
					t.Parallel()
					f, path, header := newFleetFor(t, engine)
					whole := 0
					for cut := 0; cut <= 100+len(frame); cut++ {
						f.runners[0].set(func() {
							f.runners[0].respond = func(w http.ResponseWriter, q *http.Request) {
								text := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: signed\r\n%s", testNames.RequestID, q.Header.Get(testNames.RequestID), testNames.Signature, frame)
								serveRaw(w, text[:min(cut, len(text))], reset && cut < len(text))
							}
						})
						got := f.send(t.Context(), http.MethodPost, path, header)
						complete := got.err == nil && got.status == http.StatusOK
						assert.Check(t, !complete || got.body == "hello" || name == "without a length" && !reset && strings.HasPrefix("hello", got.body), "cut at %d: %q", cut, got.body)
						if complete && got.body == "hello" {
							whole++
						}
					}
					assert.Assert(t, whole > 0, "no response was whole")
				})
			}
		}
	}
}

func TestResponseWithoutEndIsServedByAnotherUpstream(t *testing.T) {
	f := newFleet(t, 0, 2)
	r := plainRoute(route.KindSafe)
	r.MaxAttempts = 2
	f.configure(t, r)
	f.runners[0].set(func() {
		f.runners[0].respond = func(w http.ResponseWriter, _ *http.Request) {
			conn, _, err := w.(http.Hijacker).Hijack()
			if err != nil {
				panic(err) // the server supports it
			}
			defer conn.Close()
			_, err = conn.Write([]byte("HTTP/1.1 200 OK\r\n"))
			for err == nil {
				_, err = conn.Write([]byte(strings.Repeat("a: b\r\n", 1000)))
			}
		}
	})
	for range 20 {
		got := f.send(t.Context(), http.MethodGet, "/p/", nil)
		assert.NilError(t, got.err)
		assert.Equal(t, got.status, http.StatusOK)
	}
	var broken dto.Metric
	assert.NilError(t, f.gateway.metrics.oversized.WithLabelValues(string(testPlain), string(forward.PartHead)).Write(&broken))
	assert.Assert(t, broken.GetCounter().GetValue() > 0)
}
