//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	model = "m0"
	// adapterSlots is how many adapters a runner of models holds.
	adapterSlots = 6
	adapterLoad  = 30 * time.Millisecond
	heartbeat    = 1200 * time.Millisecond
)

// runner is a stand-in for a runner: one of models, or one of a plain service.
type runner struct {
	lab     *lab
	name    string
	address string
	service string
	zone    string
	engine  bool
	slots   int

	mu       sync.Mutex
	server   *http.Server
	conns    map[net.Conn]bool
	id       string
	born     int64
	starts   int
	up       bool
	state    string
	adapters map[string]uint64
	coming   map[string]uint64
	seq      uint64
	fence    uint64
	active   int
	// firstEvent is the time to the first event, eventGap the one between two events; events is how
	// many a whole stream has.
	firstEvent, eventGap time.Duration
	events               int
	// work is how long a plain request takes.
	work time.Duration
	// breakAfter, if over 0, makes the runner fall over once it has made that many events of a stream.
	breakAfter int
	// slowRead makes the runner read bodies slowly.
	slowRead bool
	// lastEntry is the entry as it was last written, without the count.
	lastEntry string
}

// start begins a new incarnation, under the former id if sameID is set.
func (r *runner) start(sameID bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !sameID || r.id == "" {
		r.starts++
		r.id = fmt.Sprintf("i-%s-%d", r.name, r.starts)
	}
	r.born = max(r.born+1, time.Now().UnixMilli())
	r.adapters, r.coming = map[string]uint64{}, map[string]uint64{}
	r.seq, r.fence, r.state, r.up, r.active = 0, 0, "ready", true, 0
	r.conns = map[net.Conn]bool{}
	conns := r.conns
	r.server = &http.Server{Handler: r, ConnState: func(c net.Conn, s http.ConnState) {
		r.mu.Lock()
		defer r.mu.Unlock()
		if s == http.StateNew {
			conns[c] = true
		} else if s == http.StateClosed || s == http.StateHijacked {
			delete(conns, c)
		}
	}}
	listener, err := net.Listen("tcp", r.address)
	must(err)
	go func(s *http.Server) { _ = s.Serve(listener) }(r.server)
}

// setPace sets the time to the first event of a stream, and the time between two events.
func (r *runner) setPace(first, gap time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.firstEvent, r.eventGap = first, gap
}

// crash ends the runner without a word; its connections are reset.
func (r *runner) crash() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.up {
		return
	}
	r.up = false
	r.lab.record("runner %s falls over", r.id)
	for c := range r.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
	}
	go func(s *http.Server) { _ = s.Close() }(r.server)
}

// beat writes the runner's entry into the store, as it does about every heartbeat and at changes.
func (r *runner) beat(due bool) {
	r.mu.Lock()
	if !r.up {
		r.mu.Unlock()
		return
	}
	entry := map[string]any{
		"service": r.service, "address": r.address, "zone": r.zone, "version": "v1", "slots": r.slots,
		"state": r.state, "coldLeftMs": 0, "born": r.born, "models": r.modelsLocked(),
	}
	text, _ := json.Marshal(entry)
	changed := string(text) != r.lastEntry
	r.lastEntry = string(text)
	entry["seq"] = r.seq
	key := "servers/" + r.id
	r.mu.Unlock()
	if due || changed {
		r.lab.store.put(key, entry)
	}
}

// modelsLocked lists what the runner holds. The caller holds mu.
func (r *runner) modelsLocked() []map[string]any {
	if !r.engine {
		return []map[string]any{}
	}
	adapters := []string{}
	for a, v := range r.adapters {
		adapters = append(adapters, fmt.Sprintf("%s@%d", a, v))
	}
	return []map[string]any{{"name": model, "version": 1, "adapters": adapters}}
}

func (r *runner) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	switch q.URL.Path {
	case "/health":
		w.Header().Set("X-Sandbarrow-Instance-Id", r.instance())
	case "/report":
		r.serveReport(w)
	case "/order":
		r.serveOrder(w, q)
	default:
		r.serveRequest(w, q)
	}
}

func (r *runner) instance() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.id
}

func (r *runner) serveReport(w http.ResponseWriter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	coming := []string{}
	for a, v := range r.coming {
		coming = append(coming, fmt.Sprintf("%s/%s@%d", model, a, v))
	}
	reply(w, http.StatusOK, map[string]any{
		"stage": "unified", "models": r.modelsLocked(), "busy": false, "seq": r.seq, "queued": 0, "active": r.active,
		"kvUsed": 1000 * r.active, "kvTotal": 120000, "handles": 0, "coming": coming, "state": r.state, "born": r.born,
	})
}

func (r *runner) serveOrder(w http.ResponseWriter, q *http.Request) {
	var o struct {
		Operation, Model, Adapter, Holder string
		Fence                             uint64
		Expected                          *uint64
		Version                           uint64
	}
	if json.NewDecoder(q.Body).Decode(&o) != nil || o.Holder == "" || o.Fence == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	expect := q.Header.Get("X-Sandbarrow-Expect-Instance")
	switch {
	case expect != "" && expect != r.id:
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case o.Fence < r.fence:
		w.WriteHeader(http.StatusPreconditionFailed)
		return
	case o.Expected != nil && *o.Expected != r.seq:
		w.WriteHeader(http.StatusConflict)
		return
	}
	r.fence = o.Fence
	r.seq++
	if o.Operation == "unload" {
		delete(r.adapters, o.Adapter)
		w.WriteHeader(http.StatusOK)
		return
	}
	if len(r.adapters)+len(r.coming) >= adapterSlots && r.adapters[o.Adapter] == 0 {
		r.lab.record("LIMIT: runner %s is ordered to load %s beyond its places", r.id, o.Adapter)
	}
	version := max(o.Version, 1)
	r.coming[o.Adapter] = version
	incarnation := r.born
	time.AfterFunc(adapterLoad, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.born == incarnation {
			delete(r.coming, o.Adapter)
			r.adapters[o.Adapter] = version
		}
	})
	w.WriteHeader(http.StatusAccepted)
}

// refusal returns the status with which the runner refuses a request as not run; 0 if it runs it.
func (r *runner) refusal(q *http.Request) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, adapter, _ := strings.Cut(q.Header.Get("X-Sandbarrow-Model"), "/")
	if expect := q.Header.Get("X-Sandbarrow-Expect-Instance"); expect != "" && expect != r.id {
		return http.StatusMisdirectedRequest
	}
	if r.engine && adapter != "" {
		version := r.adapters[adapter]
		if expect := q.Header.Get("X-Sandbarrow-Expect-Version"); version == 0 || expect != "" && expect != strconv.FormatUint(version, 10) {
			return http.StatusMisdirectedRequest
		}
	}
	r.active++
	return 0
}

func (r *runner) serveRequest(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get("X-Sandbarrow-Request-Id")
	r.readBody(q)
	h := w.Header()
	h.Set("X-Sandbarrow-Request-Id", id)
	h.Set("X-Sandbarrow-Instance-Id", r.instance())
	if status := r.refusal(q); status != 0 {
		h.Set("X-Sandbarrow-Not-Executed", "1")
		w.WriteHeader(status)
		return
	}
	defer func() {
		r.mu.Lock()
		r.active--
		r.mu.Unlock()
	}()
	h.Set("X-Sandbarrow-Server-Stamp", "stamp-"+r.instance()+"-"+id)
	if !r.engine {
		r.lab.run(r, id, "")
		select {
		case <-time.After(r.work):
		case <-q.Context().Done():
			return
		}
		_, _ = io.WriteString(w, "answer to "+id+"\n")
		return
	}
	r.stream(w, q, id)
}

// readBody reads the body of a request.
func (r *runner) readBody(q *http.Request) {
	r.mu.Lock()
	slow := r.slowRead
	r.mu.Unlock()
	for slow {
		if _, err := io.CopyN(io.Discard, q.Body, 64<<10); err != nil {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	_, _ = io.Copy(io.Discard, q.Body)
}

// stream makes the events of a stream after the last one that the request names.
func (r *runner) stream(w http.ResponseWriter, q *http.Request, id string) {
	last, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	r.mu.Lock()
	first, gap, events, breakAfter := r.firstEvent, r.eventGap, r.events, r.breakAfter
	r.mu.Unlock()
	r.lab.run(r, id, fmt.Sprintf("after event %d", last))
	h := w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("X-Sandbarrow-Weight-Versions", "1")
	wait := first
	for n := last + 1; n <= events; n++ {
		select {
		case <-time.After(wait):
		case <-q.Context().Done():
			r.lab.record("runner %s stops work on %s before event %d: its connection is closed", r.id, id, n)
			panic(http.ErrAbortHandler)
		}
		if breakAfter > 0 && n > breakAfter {
			r.crash()
			panic(http.ErrAbortHandler)
		}
		if n == last+1 {
			r.lab.record("runner %s makes its first event of %s: %d", r.instance(), id, n)
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", n, n)
		_ = http.NewResponseController(w).Flush()
		wait = gap
	}
}
