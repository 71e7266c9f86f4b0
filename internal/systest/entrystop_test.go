package systest

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sandbarrow.example/sandbarrow"
)

// Guards against requests that an entry takes on in its planned stop and that end without a response.
func TestRequestsInPlannedStopOfEntryAreAnswered(t *testing.T) {
	const grace, work = 3 * time.Second, 2400 * time.Millisecond
	const frozenAgents = "keyed calls to frozen agents"
	for name, request := range map[string]call{
		"streams":     {adapter: adapter(1), stream: true, tokens: 240},
		"completions": {adapter: adapter(1), tokens: 240},
		"calls":       {service: true},
		"keyed calls": {service: true, idempotencyKey: "key"},
		frozenAgents:  {service: true, idempotencyKey: "key"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			opts := defaultOptions()
			opts.entryStopGrace, opts.maxRunning, opts.serviceTime, opts.tokenTime = grace, 64, work, 10*time.Millisecond
			s := startSystem(t, opts)
			kill := time.AfterFunc(grace, func() { _ = s.entries[0].cmd.Process.Kill() })
			defer kill.Stop()
			s.entries[0].signal(t, syscall.SIGTERM)
			var calls []*call
			for i := range 30 {
				c := request
				c.content = fmt.Sprint("late ", i)
				if c.idempotencyKey != "" {
					c.idempotencyKey = c.content
				}
				calls = append(calls, s.start(&c))
				time.Sleep(30 * time.Millisecond)
			}
			if name == frozenAgents {
				time.Sleep(time.Second)
				for _, m := range s.members {
					m.process.signal(t, syscall.SIGSTOP)
				}
			}
			assert.Check(t, s.entries[0].cmd.Wait(), "the entry was killed at the end of the grace")
			outcomes := map[sandbarrow.Outcome]int{}
			for _, c := range calls {
				c.wait(t)
				outcomes[c.outcome]++
				assert.Check(t, c.err == nil && c.outcome != "", "%s has no response after %s: %v", c.content, c.duration, c.err)
			}
			t.Logf("%v", outcomes)
			for _, m := range s.members {
				m.process.signal(t, syscall.SIGCONT)
			}
			s.checker.verify("v1")
		})
	}
}

// Guards against kept connections on which requests follow throughout a planned stop of an entry.
func TestResponseInPlannedStopOfEntryClosesItsConnection(t *testing.T) {
	t.Parallel()
	s := startSystem(t, defaultOptions())
	send := func(id string) *http.Response {
		request, err := http.NewRequest(http.MethodPost, s.urls[0]+"/receipts/new", strings.NewReader(id))
		assert.NilError(t, err)
		request.Header.Set("Authorization", "Bearer "+callerKey)
		response, err := controlClient.Do(request)
		assert.NilError(t, err)
		defer response.Body.Close()
		_, err = io.Copy(io.Discard, response.Body)
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, http.StatusOK)
		return response
	}
	assert.Assert(t, !send("before").Close)
	s.entries[0].signal(t, syscall.SIGTERM)
	time.Sleep(100 * time.Millisecond)
	assert.Assert(t, send("after").Close)
	s.entries[0].waitExit(t, 10*time.Second)
}
