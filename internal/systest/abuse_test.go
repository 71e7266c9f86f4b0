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

// open starts a streamed completion and returns its connection's reader.
func (s *system) open(ctx context.Context, content string, tokens string) io.ReadCloser {
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

func TestVanishingCaller(t *testing.T) {
	t.Parallel()
	s := startSystem(t, defaultShape())
	ctx, cancel := context.WithCancel(context.Background())
	body := s.open(ctx, "leaves", "1500") // 7.5 s
	_, err := body.Read(make([]byte, 1))
	assert.NilError(t, err)
	s.waitBusy("sandbarrow_running")
	cancel()
	await.Until(t, 3*time.Second, "the run ends", func() bool { return s.busy("sandbarrow_running") == nil })
	s.normal(kinds[0])
	s.checker.verify("v1")
}

// TestSlowCaller reads nothing of a long answer while others are served.
func TestSlowCaller(t *testing.T) {
	t.Parallel()
	sh := defaultShape()
	sh.step = time.Millisecond
	s := startSystem(t, sh)
	defer s.open(t.Context(), "slow", "5000").Close()
	for range 20 {
		c := s.start(streamOf(1)).wait(t)
		assert.Equal(t, c.outcome, sandbarrow.OutcomeComplete, c.body)
		assert.Assert(t, c.took < 2*time.Second, "took %v", c.took)
	}
	s.checker.verify("v1")
}

// TestGarbageBetweenProcesses sends an agent what is no message.
func TestGarbageBetweenProcesses(t *testing.T) {
	t.Parallel()
	s := startSystem(t, defaultShape())
	for _, garbage := range []string{"GET / HTTP/1.1\r\n\r\n", "\x00\x00\x00\x02{}", "\x00\x00\x00\x05{\"a\":", "\xff\xff\xff\xff"} {
		for _, m := range s.members {
			conn, err := net.Dial("tcp", m.relay.address())
			assert.NilError(t, err)
			_, err = conn.Write([]byte(garbage))
			assert.NilError(t, err)
			assert.NilError(t, conn.Close())
		}
	}
	for _, k := range kinds {
		assert.Equal(t, s.start(k.make("after "+k.name)).wait(t).outcome, sandbarrow.OutcomeComplete)
	}
	s.checker.verify("v1")
}
