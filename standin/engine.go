package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"sandbarrow.example/sandbarrow"
)

// EngineOptions configure an Engine.
type EngineOptions struct {
	// UpstreamNotices writes the engine's drain, backoff and limit notices into responses.
	UpstreamNotices sandbarrow.NoticeWriter
	// ChecksToken rejects orders that carry an older fencing token.
	ChecksToken bool
	// MaxBatch is the maximum number of requests in one step.
	MaxBatch int
	// Slots is the number of adapters that can be loaded at once.
	Slots int
	// Step is the duration of one step; 0 completes each request at once.
	Step time.Duration
	// WeightStore is the base URL of the weight store. If it is empty, loads fetch no weights.
	WeightStore string
}

// Engine is a stand-in for a model engine with continuous batching.
type Engine struct {
	faultSwitch
	handler http.Handler
	log     runLog
	mu      sync.Mutex
	options EngineOptions

	loaded       map[string]int // waiting and running requests by loaded model
	running      map[string]*generation
	startTime    time.Time
	restarts     int
	streams      map[string]*generation
	highestToken uint64
	waiting      []*generation

	// Steps counts the steps with at least one request, BatchedRequests the requests in them.
	Steps, BatchedRequests atomic.Int64
}

// NewEngine returns an engine without adapters. Its step loop runs until ctx is done.
func NewEngine(ctx context.Context, o EngineOptions) *Engine {
	e := &Engine{
		faultSwitch: faultSwitch{notices: o.UpstreamNotices},

		loaded:    map[string]int{},
		options:   o,
		running:   map[string]*generation{},
		startTime: time.Now(),
		streams:   map[string]*generation{},
	}
	e.onSet = func(f Faults) {
		if f.Restart {
			e.restart()
		}
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", e.serveRun)
	mux.HandleFunc("POST /v1/chat/completions", e.serveRun)
	mux.HandleFunc("GET /v1/streams/{id}", e.serveResume)
	mux.HandleFunc("GET /v1/models", e.serveModels)
	mux.HandleFunc("POST /v1/load_lora_adapter", e.serveLoad)
	mux.HandleFunc("POST /v1/unload_lora_adapter", e.serveUnload)
	mux.HandleFunc("GET /log", e.log.serve)
	e.handler = e.wrap(mux)
	if o.Step > 0 {
		go e.stepLoop(ctx)
	}
	return e
}

// Log returns the runs and orders so far.
func (e *Engine) Log() Log { return e.log.copy() }

// ServeHTTP serves the engine's protocol.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.handler.ServeHTTP(w, r) }

func (e *Engine) restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, g := range e.running {
		g.abort()
	}
	for _, g := range e.waiting {
		g.abort()
	}
	e.loaded, e.running, e.streams, e.waiting = map[string]int{}, map[string]*generation{}, map[string]*generation{}, nil
	e.restarts++
}

func (e *Engine) serveModels(w http.ResponseWriter, _ *http.Request) {
	type model struct {
		ID      string `json:"id"`
		Running int    `json:"running"`
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	models := []model{}
	for id, n := range e.loaded {
		models = append(models, model{id, n})
	}
	writeJSON(w, http.StatusOK, map[string]any{
		"object": "list",
		"data":   models,
		"start":  fmt.Sprintf("%d-%d", e.startTime.UnixNano(), e.restarts),
	})
}

type orderBody struct {
	Name  string `json:"lora_name"`
	Path  string `json:"lora_path"`
	Token uint64 `json:"fencing_token"`
}

func (e *Engine) readOrder(w http.ResponseWriter, r *http.Request) (orderBody, bool) {
	var o orderBody
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return o, false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.options.ChecksToken && o.Token < e.highestToken {
		http.Error(w, "order has an older fencing token", http.StatusPreconditionFailed)
		return o, false
	}
	e.highestToken = max(e.highestToken, o.Token)
	return o, true
}

func (e *Engine) serveLoad(w http.ResponseWriter, r *http.Request) {
	o, ok := e.readOrder(w, r)
	if !ok {
		return
	}
	if e.consume(func(f *Faults) *int { return &f.HangLoads }) {
		<-r.Context().Done()
		return
	}
	if e.consume(func(f *Faults) *int { return &f.FailLoads }) {
		http.Error(w, "load failed", http.StatusInternalServerError)
		return
	}
	if status := e.fetchWeights(r.Context(), o.Path); status != http.StatusOK {
		http.Error(w, "weight store", status)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, ok := e.loaded[o.Name]; !ok && len(e.loaded) >= e.options.Slots {
		http.Error(w, "no free slot", http.StatusConflict)
		return
	}
	e.log.addOrder(OrderRecord{Model: o.Name, Running: e.loaded[o.Name]})
	e.loaded[o.Name] += 0
}

func (e *Engine) fetchWeights(ctx context.Context, path string) int {
	if e.options.WeightStore == "" {
		return http.StatusOK
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, e.options.WeightStore+"/"+path, nil)
	if err != nil {
		return http.StatusBadRequest
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return http.StatusBadGateway
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

func (e *Engine) serveUnload(w http.ResponseWriter, r *http.Request) {
	o, ok := e.readOrder(w, r)
	if !ok {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	running, ok := e.loaded[o.Name]
	if !ok {
		http.NotFound(w, r)
		return
	}
	e.log.addOrder(OrderRecord{Model: o.Name, Running: running, Unload: true})
	for id, g := range e.running {
		if g.model == o.Name {
			g.abort()
			delete(e.running, id)
		}
	}
	delete(e.loaded, o.Name)
}

type runBody struct {
	MaxTokens int    `json:"max_tokens"`
	Model     string `json:"model"`
	Priority  int    `json:"priority"`
	Stream    bool   `json:"stream"`
}

func (e *Engine) serveRun(w http.ResponseWriter, r *http.Request) {
	if e.rejectInBackoff(w, &e.log) {
		return
	}
	raw, b, err := readRun(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	g := &generation{
		responseModel: b.Model,
		id:            r.Header.Get("X-Request-Id"),
		model:         b.Model,
		priority:      b.Priority,
		tag:           tag(raw),
		totalTokens:   max(1, b.MaxTokens),
		changed:       make(chan struct{}),
	}
	if e.consume(func(f *Faults) *int { return &f.WrongModel }) {
		g.responseModel = "other@v0"
	}
	if e.consume(func(f *Faults) *int { return &f.Truncate }) {
		g.truncateAt = max(1, g.totalTokens/2)
	}
	if !e.admit(g, r.URL.Path) {
		http.Error(w, "model "+strconv.Quote(b.Model)+" is not loaded", http.StatusNotFound)
		return
	}
	if fatal := e.get().Fatal; fatal != "" && fatal == g.tag {
		e.restart()
	}
	if b.Stream {
		g.serveStream(w, r, 0)
	} else {
		g.serveComplete(w, r)
	}
	if r.Context().Err() != nil {
		e.cancel(g)
	}
}

// admit logs and queues the run. It returns false if the run's model is not loaded.
func (e *Engine) admit(g *generation, path string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, ok := e.loaded[g.model]; !ok {
		return false
	}
	e.log.addRun(Run{Request: g.id, Model: g.model, Path: path, Tag: g.tag})
	if e.options.Step == 0 {
		g.advance(g.totalTokens)
		return true
	}
	e.loaded[g.model]++
	e.streams[g.id] = g
	e.waiting = append(e.waiting, g)
	return true
}

// cancel aborts a generation whose client disconnected.
func (e *Engine) cancel(g *generation) {
	e.mu.Lock()
	defer e.mu.Unlock()
	g.abort()
}

// serveResume continues a stream after the event in Last-Event-ID.
func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	g, ok := e.streams[r.PathValue("id")]
	e.mu.Unlock()
	if !ok {
		http.NotFound(w, r)
		return
	}
	from, err := strconv.Atoi(r.Header.Get("Last-Event-ID"))
	if err != nil {
		http.Error(w, "Last-Event-ID: "+err.Error(), http.StatusBadRequest)
		return
	}
	g.serveStream(w, r, from)
}
