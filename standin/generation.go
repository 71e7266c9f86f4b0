package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// maxStreams is the number of resumable generations above which an engine drops the finished ones.
const maxStreams = 256

// generation is one run on an Engine.
type generation struct {
	responseModel string
	id            string
	model         string
	priority      int
	tag           string
	totalTokens   int
	truncateAt    int

	mu          sync.Mutex
	aborted     bool
	readyTokens int
	changed     chan struct{}
}

// advance makes n more tokens ready and reports whether the run has finished.
func (g *generation) advance(n int) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.readyTokens = min(g.totalTokens, g.readyTokens+n)
	close(g.changed)
	g.changed = make(chan struct{})
	return g.aborted || g.readyTokens == g.totalTokens
}

// abort ends the run without its remaining tokens.
func (g *generation) abort() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.aborted = true
	close(g.changed)
	g.changed = make(chan struct{})
}

func (g *generation) state() (readyTokens int, aborted bool, changed chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.readyTokens, g.aborted, g.changed
}

// waitPast waits until more than n tokens are ready.
func (g *generation) waitPast(ctx context.Context, n int) (int, error) {
	for {
		ready, aborted, changed := g.state()
		if ready > n {
			return ready, nil
		}
		if aborted {
			return 0, io.ErrUnexpectedEOF
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return 0, ctx.Err()
		}
	}
}

func (g *generation) serveComplete(w http.ResponseWriter, r *http.Request) {
	if _, err := g.waitPast(r.Context(), g.totalTokens-1); err != nil {
		panic(http.ErrAbortHandler)
	}
	body, _ := json.Marshal(map[string]any{
		"id":      g.id,
		"model":   g.responseModel,
		"object":  "text_completion",
		"choices": []map[string]any{{"index": 0, "text": g.text(0, g.totalTokens), "finish_reason": "stop"}},
		"usage":   map[string]int{"completion_tokens": g.totalTokens},
	})
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", fmt.Sprint(len(body)))
	if g.truncateAt > 0 {
		_, _ = w.Write(body[:len(body)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(body)
}

// text returns the tokens [from, to). Token 0 is the tag of the request.
func (g *generation) text(from, to int) string {
	var sb strings.Builder
	for i := from; i < to; i++ {
		if i == 0 {
			sb.WriteString(g.tag)
			continue
		}
		fmt.Fprintf(&sb, " t%d", i)
	}
	return sb.String()
}

func (g *generation) serveStream(w http.ResponseWriter, r *http.Request, from int) {
	w.Header().Set("Content-Type", "text/event-stream")
	flusher := w.(http.Flusher)
	flusher.Flush()
	for sent := from; sent < g.totalTokens; {
		ready, err := g.waitPast(r.Context(), sent)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		for ; sent < ready; sent++ {
			if g.truncateAt > 0 && from == 0 && sent >= g.truncateAt {
				panic(http.ErrAbortHandler)
			}
			_, _ = fmt.Fprintf(w, "id: %d\ndata: {\"id\":%q,\"model\":%q,\"choices\":[{\"index\":0,\"text\":%q}]}\n\n",
				sent+1, g.id, g.responseModel, g.text(sent, sent+1))
		}
		flusher.Flush()
	}
	_, _ = io.WriteString(w, "data: [DONE]\n\n")
}

func readRun(r *http.Request) ([]byte, runBody, error) {
	var b runBody
	raw, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, b, err
	}
	// The tag covers only the prompt, because no process on the path changes it.
	var prompt struct {
		Messages json.RawMessage `json:"messages"`
		Prompt   json.RawMessage `json:"prompt"`
	}
	if err := json.Unmarshal(raw, &prompt); err != nil {
		return nil, b, err
	}
	return append(prompt.Messages, prompt.Prompt...), b, json.Unmarshal(raw, &b)
}

// stepLoop generates one token for each request of the batch in each step.
func (e *Engine) stepLoop(ctx context.Context) {
	t := time.NewTicker(e.options.Step)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			e.step()
		}
	}
}

func (e *Engine) step() {
	e.mu.Lock()
	defer e.mu.Unlock()
	slices.SortStableFunc(e.waiting, func(a, b *generation) int { return a.priority - b.priority })
	for len(e.waiting) > 0 && len(e.running) < e.options.MaxBatch {
		g := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.running[g.id] = g
	}
	if len(e.running) == 0 {
		return
	}
	e.Steps.Add(1)
	e.BatchedRequests.Add(int64(len(e.running)))
	for id, g := range e.running {
		if g.advance(1) {
			delete(e.running, id)
			if _, ok := e.loaded[g.model]; ok {
				e.loaded[g.model]--
			}
		}
	}
	if len(e.streams) > maxStreams {
		e.dropFinished()
	}
}

// dropFinished drops finished and aborted generations. The caller holds mu.
func (e *Engine) dropFinished() {
	for id, g := range e.streams {
		if ready, aborted, _ := g.state(); aborted || ready == g.totalTokens {
			delete(e.streams, id)
		}
	}
}
