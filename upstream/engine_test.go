package upstream

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sandbarrow.example/sandbarrow"
)

// noObserver ignores what it is told.
type noObserver struct{}

func (noObserver) ResponseReceived(time.Time, int, http.Header) {}
func (noObserver) Resumed()                                     {}

// countingSink counts the bytes of a response.
type countingSink struct{ bytes int }

func (*countingSink) Begin(sandbarrow.ResponseHeader) error { return nil }
func (s *countingSink) Write(p []byte) (int, error) {
	s.bytes += len(p)
	return len(p), nil
}

func TestEngineResponseWithoutEndIsBroken(t *testing.T) {
	for name, tc := range map[string]struct {
		repeat string
		stream bool
	}{
		"a complete response": {"x", false},
		"an event":            {"data: x", true},
		"lines of an event":   {"data: x\n", true},
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				block := strings.Repeat(tc.repeat, 10_000)
				for written := 0; written < 64<<20; written += len(block) {
					if _, err := io.WriteString(w, block); err != nil {
						return
					}
				}
			}))
			defer server.Close()
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			e := NewEngine(server.URL, 1, noObserver{})
			sink := &countingSink{}
			model := sandbarrow.ModelRef{Adapter: "a", Version: "v1"}
			err := e.Run(ctx, sandbarrow.Job{Body: []byte("{}"), ID: "r", Model: model, Path: "/", Stream: tc.stream}, sink)
			assert.ErrorIs(t, err, sandbarrow.ErrUpstreamBroken)
			assert.Equal(t, sink.bytes, 0)
			_, err = e.State(ctx)
			assert.ErrorIs(t, err, sandbarrow.ErrUpstreamBroken)
		})
	}
}
