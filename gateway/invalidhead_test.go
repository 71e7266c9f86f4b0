package gateway

import (
	"fmt"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"sandbarrow.example/sandbarrow/route"
)

// A response with an invalid head may have run: it must not reach callers, nor count as one that did not run.
func TestInvalidHeadIsNotPassedOn(t *testing.T) {
	heads := map[string]string{
		"status 000":          "HTTP/1.1 000 Nothing\r\n%[1]s: %[2]s\r\n%[3]s: signed\r\nContent-Length: 4\r\n\r\nhalf",
		"blank in a name":     "HTTP/1.1 200 OK\r\n%[1]s: %[2]s\r\n%[3]s: signed\r\nX Trouble: 1\r\nContent-Length: 4\r\n\r\nhalf",
		"blank before colon":  "HTTP/1.1 200 OK\r\n%[1]s: %[2]s\r\n%[3]s: signed\r\nContent-Length : 4\r\n\r\nhalfhalf",
		"two requests":        "HTTP/1.1 200 OK\r\n%[1]s: %[2]s\r\n%[1]s: other\r\n%[3]s: signed\r\nContent-Length: 4\r\n\r\nhalf",
		"refusal, not valid":  "HTTP/1.1 503 Full\r\n%[1]s: %[2]s\r\n" + testNames.NotRun + ": 1\r\nRetry-After : 9\r\nContent-Length: 0\r\n\r\n",
		"misdirected, blanks": "HTTP/1.1 421 No\r\n%[1]s: %[2]s\r\nX Trouble: 1\r\nContent-Length: 0\r\n\r\n",
	}
	for name, head := range heads {
		for kind, runs := range map[route.Kind]int{route.KindUnsafe: 1, route.KindSafe: 2} {
			t.Run(fmt.Sprintf("%s, %v", name, kind), func(t *testing.T) {
				t.Parallel()
				f := newFleet(t, 0, 2)
				f.configure(t, plainRoute(kind))
				for _, r := range f.runners {
					r.set(func() {
						r.respond = func(w http.ResponseWriter, q *http.Request) {
							serveRaw(w, fmt.Sprintf(head, testNames.RequestID, q.Header.Get(testNames.RequestID), testNames.Signature), false)
						}
					})
				}
				got := f.send(t.Context(), http.MethodPost, "/p/", nil)
				assert.NilError(t, got.err)
				assert.Equal(t, got.status, http.StatusBadGateway)
				assert.Equal(t, got.header.Get(testNames.Signature), "")
				assert.Equal(t, len(f.runners[0].runs())+len(f.runners[1].runs()), runs)
			})
		}
	}
}
