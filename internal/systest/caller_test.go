package systest

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/entry"
)

// call is one request of a caller and its response.
type call struct {
	adapter        sandbarrow.AdapterID
	class          sandbarrow.CallerClass
	content        string // the prompt, or the body of a service call
	deadline       time.Duration
	entry          int
	idempotencyKey string
	service        bool
	stream         bool
	tokens         int

	responseStarted chan struct{} // closed at the first bytes of the response
	body            string
	done            chan struct{}
	err             error
	header          http.Header
	outcome         sandbarrow.Outcome
	problem         entry.Problem
	status          int
	duration        time.Duration
}

// start sends the request and reads the response in the background.
func (s *system) start(c *call) *call {
	s.t.Helper()
	c.responseStarted, c.done = make(chan struct{}), make(chan struct{})
	path, body := "/v1/completions", c.content
	if c.service {
		path = "/receipts/new"
	} else {
		body = fmt.Sprintf(`{"model":%q,"max_tokens":%d,"stream":%t,"prompt":%q}`, c.adapter, c.tokens, c.stream, c.content)
	}
	req, err := http.NewRequest(http.MethodPost, s.urls[c.entry]+path, bytes.NewReader([]byte(body)))
	assert.NilError(s.t, err)
	req.Header.Set("Authorization", "Bearer "+bearerKey(c.class))
	req.Header.Set("Content-Type", "application/json")
	if c.idempotencyKey != "" {
		req.Header.Set("Idempotency-Key", c.idempotencyKey)
	}
	if c.deadline > 0 {
		req.Header.Set("Sandbarrow-Deadline-Ms", fmt.Sprint(c.deadline.Milliseconds()))
	}
	s.checker.add(c)
	go c.send(req)
	return c
}

func (c *call) send(req *http.Request) {
	defer close(c.done)
	started := time.Now()
	defer func() { c.duration = time.Since(started) }()
	transport := &http.Transport{DisableKeepAlives: true}
	resp, err := (&http.Client{Transport: transport}).Do(req)
	if err != nil {
		c.err = err
		return
	}
	defer resp.Body.Close()
	c.status, c.header = resp.StatusCode, resp.Header
	r := bufio.NewReader(resp.Body)
	if _, err := r.Peek(1); err == nil {
		close(c.responseStarted)
	}
	body, err := io.ReadAll(r)
	c.body, c.err = string(body), err
	c.parseOutcome()
}

// parseOutcome sets the outcome that the response reports.
func (c *call) parseOutcome() {
	text := c.body
	if _, event, ok := strings.Cut(c.body, "event: error\ndata: "); ok {
		text = event
	} else if c.status == http.StatusOK {
		c.outcome = sandbarrow.OutcomeComplete
		return
	}
	if err := json.Unmarshal([]byte(text), &c.problem); err != nil && c.err == nil {
		c.err = err
	}
	c.outcome = c.problem.Outcome
}

func (c *call) wait(t testing.TB) *call {
	t.Helper()
	select {
	case <-c.done:
	case <-time.After(30 * time.Second):
		t.Fatal("no response within 30 s")
	}
	return c
}

// tag is the digest that the stand-ins put into the response to this request.
func (c *call) tag() string {
	content := []byte(c.content)
	if !c.service {
		content, _ = json.Marshal(c.content)
	}
	sum := sha256.Sum256(content)
	return hex.EncodeToString(sum[:8])
}

// sendRaw sends any request and returns the status and problem of its response.
func (s *system) sendRaw(t *testing.T, path, body, key, header, value string) (int, entry.Problem) {
	t.Helper()
	if path == "" {
		path = "/v1/completions"
	}
	if key == "" {
		key = callerKey
	}
	req, err := http.NewRequest(http.MethodPost, s.urls[0]+path, strings.NewReader(body))
	assert.NilError(t, err)
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("Content-Type", "application/json")
	if header != "" {
		req.Header.Set(header, value)
	}
	resp, err := controlClient.Do(req)
	assert.NilError(t, err)
	defer resp.Body.Close()
	var p entry.Problem
	text, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	if resp.StatusCode != http.StatusOK {
		assert.NilError(t, json.Unmarshal(text, &p), "%s", text)
	}
	return resp.StatusCode, p
}
