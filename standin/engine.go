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

// EngineOptions describe an Engine.
type EngineOptions struct {
	// UpstreamNotices writes what the engine announces of itself.
	UpstreamNotices sandbarrow.NoticeWriter
	// ChecksToken makes orders under an older fencing token fail.
	ChecksToken bool
	// MaxBatch is the number of requests that share a step.
	MaxBatch int
	// Slots is the number of adapters that fit.
	Slots int
	// Step is the time of one step; 0 answers without steps.
	Step time.Duration
	// WeightStore is the base URL of the weight store; empty loads at once.
	WeightStore string
}

// Engine is a stand-in for a model engine that batches continuously.
type Engine struct {
	faultSwitch
	handler http.Handler
	log     runLog
	mu      sync.Mutex
	options EngineOptions

	loaded  map[string]int // running requests by loaded model
	running map[string]*generation
	start   time.Time
	starts  int
	streams map[string]*generation
	token   uint64
	waiting []*generation

	// StepsTaken counts steps with work, StepSlots the requests in them.
	StepsTaken, StepSlots atomic.Int64
}

// NewEngine returns an empty engine that steps until ctx ends.
func NewEngine(ctx context.Context, o EngineOptions) *Engine {
	e := &Engine{
		faultSwitch: faultSwitch{announcements: o.UpstreamNotices},

		loaded:  map[string]int{},
		options: o,
		running: map[string]*generation{},
		start:   time.Now(),
		streams: map[string]*generation{},
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
		g.cut()
	}
	for _, g := range e.waiting {
		g.cut()
	}
	e.loaded, e.running, e.streams, e.waiting = map[string]int{}, map[string]*generation{}, map[string]*generation{}, nil
	e.starts++
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
		"start":  fmt.Sprintf("%d-%d", e.start.UnixNano(), e.starts),
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
	if e.options.ChecksToken && o.Token < e.token {
		http.Error(w, "order has an older fencing token", http.StatusPreconditionFailed)
		return o, false
	}
	e.token = max(e.token, o.Token)
	return o, true
}

func (e *Engine) serveLoad(w http.ResponseWriter, r *http.Request) {
	o, ok := e.readOrder(w, r)
	if !ok {
		return
	}
	if e.take(func(f *Faults) *int { return &f.HangLoads }) {
		<-r.Context().Done()
		return
	}
	if e.take(func(f *Faults) *int { return &f.FailLoads }) {
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
			g.cut()
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
	if e.backsOff(w, &e.log) {
		return
	}
	raw, b, err := readRun(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	g := &generation{
		answered: b.Model,
		id:       r.Header.Get("X-Request-Id"),
		model:    b.Model,
		priority: b.Priority,
		tag:      tag(raw),
		total:    max(1, b.MaxTokens),
		wake:     make(chan struct{}),
	}
	if e.take(func(f *Faults) *int { return &f.WrongModel }) {
		g.answered = "other@v0"
	}
	if e.take(func(f *Faults) *int { return &f.Truncate }) {
		g.truncateAt = max(1, g.total/2)
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
		g.serveWhole(w, r)
	}
	if r.Context().Err() != nil {
		e.cancel(g)
	}
}

// admit logs the run and queues it, unless its model is not loaded.
func (e *Engine) admit(g *generation, path string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, ok := e.loaded[g.model]; !ok {
		return false
	}
	e.log.addRun(Run{Request: g.id, Model: g.model, Path: path, Tag: g.tag})
	if e.options.Step == 0 {
		g.advance(g.total)
		return true
	}
	e.loaded[g.model]++
	e.streams[g.id] = g
	e.waiting = append(e.waiting, g)
	return true
}

// cancel ends a generation whose caller left.
func (e *Engine) cancel(g *generation) {
	e.mu.Lock()
	defer e.mu.Unlock()
	g.cut()
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
