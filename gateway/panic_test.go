package gateway

import (
	"bytes"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/route"
)

// panickingNotices panics when a response is read.
type panickingNotices struct{}

func (panickingNotices) Read(int, http.Header) (sandbarrow.UpstreamNotice, error) { panic("malformed") }

// lockedBuffer is a log that several goroutines use.
type lockedBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *lockedBuffer) contains(text string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return strings.Contains(b.text.String(), text)
}

func TestPanicIsLoggedAndAnswered(t *testing.T) {
	var log lockedBuffer
	f := newFleetWith(t, 0, 1, func(c *Config) {
		c.Logger = slog.New(slog.NewJSONHandler(&log, nil))
		c.UpstreamNotices = panickingNotices{}
	})
	f.configure(t, plainRoute(route.KindUnsafe))
	got := f.send(t.Context(), http.MethodPost, "/p/x", nil)
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusInternalServerError)
	assert.Equal(t, got.body, string(reasonPanic)+"\n")
	assert.Assert(t, log.contains(`"msg":"handler panicked"`) && log.contains(`"panic":"malformed"`))
	assert.Equal(t, f.gateway.memory.Held(), int64(0))
}

func TestLogTellsWhichSideClosedConnection(t *testing.T) {
	var log lockedBuffer
	f := newFleetWith(t, 0, 1, func(c *Config) { c.Logger = slog.New(slog.NewJSONHandler(&log, nil)) })
	f.configure(t, plainRoute(route.KindUnsafe))
	f.runners[0].set(func() { f.runners[0].hang = true })
	conn, err := net.Dial("tcp", f.url[len("http://"):])
	assert.NilError(t, err)
	assert.NilError(t, request(t, conn, "/none")())
	_, err = fmt.Fprintf(conn, "POST /p/x HTTP/1.1\r\nHost: %s\r\n%s: left\r\nContent-Length: 0\r\n\r\n", testHost, testNames.RequestID)
	assert.NilError(t, err)
	eventually(t, func() bool { return len(f.runners[0].runs()) > 0 })
	assert.NilError(t, conn.Close())
	eventually(t, func() bool {
		return log.contains(`"reason":"caller-left","closed_by":"caller","connection_requests":2`)
	})
}
