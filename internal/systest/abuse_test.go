package systest

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/internal/await"
)

// openStream starts a streamed completion and returns the body of its response.
func (s *system) openStream(ctx context.Context, content string, tokens string) io.ReadCloser {
	s.t.Helper()
	body := `{"model":"adapter-1","max_tokens":` + tokens + `,"stream":true,"prompt":"` + content + `"}`
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, s.urls[0]+"/v1/completions", strings.NewReader(body))
	assert.NilError(s.t, err)
	req.Header.Set("Authorization", "Bearer "+callerKey)
	req.Header.Set("Content-Type", "application/json")
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	assert.NilError(s.t, err)
	assert.Equal(s.t, resp.StatusCode, http.StatusOK)
	return resp.Body
}

func TestRunEndsAfterCallerDisconnects(t *testing.T) {
	t.Parallel()
	s := startSystem(t, defaultOptions())
	ctx, cancel := context.WithCancel(context.Background())
	body := s.openStream(ctx, "disconnects", "1500") // 7.5 s
	_, err := body.Read(make([]byte, 1))
	assert.NilError(t, err)
	s.waitGauge("sandbarrow_running")
	cancel()
	await.Until(t, 3*time.Second, "the run stops after its caller disconnected", func() bool { return s.memberWithGauge("sandbarrow_running") == nil })
	s.waitServing(requestKinds[0])
	s.checker.verify("v1")
}

// TestSlowCallerDoesNotDelayOthers leaves a long response unread while other requests are served.
func TestSlowCallerDoesNotDelayOthers(t *testing.T) {
	t.Parallel()
	opts := defaultOptions()
	opts.tokenTime = time.Millisecond
	s := startSystem(t, opts)
	defer s.openStream(t.Context(), "slow", "5000").Close()
	for range 20 {
		c := s.start(streamCall(1)).wait(t)
		assert.Equal(t, c.outcome, sandbarrow.OutcomeComplete, c.body)
		assert.Assert(t, c.duration < 2*time.Second, "took %v", c.duration)
	}
	s.checker.verify("v1")
}

// TestMalformedMessagesDoNotDisruptAgents sends each agent bytes that are not valid messages.
func TestMalformedMessagesDoNotDisruptAgents(t *testing.T) {
	t.Parallel()
	s := startSystem(t, defaultOptions())
	for _, garbage := range []string{"GET / HTTP/1.1\r\n\r\n", "\x00\x00\x00\x02{}", "\x00\x00\x00\x05{\"a\":", "\xff\xff\xff\xff"} {
		for _, m := range s.members {
			conn, err := net.Dial("tcp", m.relay.address())
			assert.NilError(t, err)
			_, err = conn.Write([]byte(garbage))
			assert.NilError(t, err)
			assert.NilError(t, conn.Close())
		}
	}
	for _, k := range requestKinds {
		assert.Equal(t, s.start(k.make("after "+k.name)).wait(t).outcome, sandbarrow.OutcomeComplete)
	}
	s.checker.verify("v1")
}
