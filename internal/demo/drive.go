package demo

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/workload"
)

const (
	driveDuration   = 3 * time.Second
	maxTokens       = 60
	receiptInterval = 10
	seed            = 7
	skew            = 1.1
	streamInterval  = 3
)

// Response is one response as its caller received it.
type Response struct {
	Class sandbarrow.CallerClass
	// Fault is empty if the response was complete and correct.
	Fault   string
	Kind    string
	Model   string
	Latency time.Duration
}

// Drive sends the requests of both estates and checks each response. One in ten is an at-most-once
// call of the plain service; a third of the others are streamed.
func (d *Demo) Drive(ctx context.Context) []Response {
	var responses []Response
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, e := range estates() {
		trace := workload.Trace(&e, workload.Options{Duration: driveDuration, Seed: seed, Skew: skew})
		start := time.Now()
		wg.Go(func() {
			for i, r := range trace {
				sleepUntil(ctx, start.Add(r.At))
				wg.Go(func() {
					response := d.send(ctx, i, r)
					mu.Lock()
					defer mu.Unlock()
					responses = append(responses, response)
				})
			}
		})
	}
	wg.Wait()
	return responses
}

func sleepUntil(ctx context.Context, t time.Time) {
	select {
	case <-time.After(time.Until(t)):
	case <-ctx.Done():
	}
}

func (d *Demo) send(ctx context.Context, i int, r workload.Request) Response {
	url := "http://" + d.entries[i%len(d.entries)].Address()
	response := Response{Class: r.Class.Class, Kind: "answer"}
	start := time.Now()
	var err error
	prompt := fmt.Sprintf("%s %s %d", r.Adapter, r.Class.Class, i)
	switch {
	case i%receiptInterval == 0:
		response.Kind = "receipt"
		err = d.requestReceipt(ctx, url, prompt, &response)
	default:
		err = requestCompletion(ctx, url, prompt, r, i%streamInterval == 0, &response)
	}
	response.Latency = time.Since(start)
	if err != nil {
		response.Fault = err.Error()
	}
	return response
}

// contentTag returns the digest of content that the stand-ins put into their responses.
func contentTag(content []byte) string {
	sum := sha256.Sum256(content)
	return hex.EncodeToString(sum[:8])
}

func (d *Demo) requestReceipt(ctx context.Context, url, content string, response *Response) error {
	body, _, err := post(ctx, url+servicePath+"new", []byte(content), response.Class)
	if err != nil {
		return err
	}
	if !strings.Contains(string(body), contentTag([]byte(content))) {
		return fmt.Errorf("receipt of another request: %s", body)
	}
	return nil
}

func requestCompletion(ctx context.Context, url, prompt string, r workload.Request, stream bool, response *Response) error {
	quoted, err := json.Marshal(prompt)
	if err != nil {
		return err
	}
	tokens := min(maxTokens, r.Tokens)
	body := fmt.Sprintf(`{"model":%q,"max_tokens":%d,"stream":%t,"prompt":%s}`, r.Adapter, tokens, stream, quoted)
	if stream {
		response.Kind = "stream"
	}
	content, header, err := post(ctx, url+"/v1/completions", []byte(body), response.Class)
	if err != nil {
		return err
	}
	response.Model = header.Get("Sandbarrow-Model")
	return checkResponse(string(content), response.Model, string(r.Adapter), contentTag(quoted), tokens, stream)
}

// checkResponse compares a response with its request.
func checkResponse(content, model, adapter, tag string, tokens int, stream bool) error {
	last := fmt.Sprintf("t%d", tokens-1)
	switch {
	case !strings.HasPrefix(model, adapter+"@"):
		return fmt.Errorf("response is from model %s", model)
	case !strings.Contains(content, fmt.Sprintf(`"model":%q`, model)):
		return fmt.Errorf("response body does not name model %s", model)
	case !strings.Contains(content, tag):
		return fmt.Errorf("response to another request")
	case !strings.Contains(content, last):
		return fmt.Errorf("response is truncated")
	case stream && !strings.HasSuffix(content, "data: [DONE]\n\n"):
		return fmt.Errorf("stream has no [DONE] event")
	}
	return nil
}

func post(ctx context.Context, url string, body []byte, class sandbarrow.CallerClass) ([]byte, http.Header, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, nil, err
	}
	req.Header.Set("Authorization", "Bearer "+keyOf(class))
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, nil, err
	}
	defer resp.Body.Close()
	content, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, nil, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, nil, fmt.Errorf("status %d: %s", resp.StatusCode, content)
	}
	return content, resp.Header, nil
}
