package standin

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"

	"sandbarrow.example/sandbarrow"
)

// Faults are the faults of one stand-in. Counts are used up one by one.
type Faults struct {
	// Backoff refuses each run and announces the text as when to come back; "" refuses none.
	Backoff string `json:"backoff"`
	// Copy takes a copy of the state for Restore (key-value service).
	Copy bool `json:"copy"`
	// DelayMS holds each call back by milliseconds.
	DelayMS int `json:"delay_ms"`
	// Down cuts each call before it has any effect.
	Down bool `json:"down"`
	// Draining is announced in each answer as that the upstream drains; "" announces nothing.
	Draining string `json:"draining"`
	// FailLoads fails as many loads (engine).
	FailLoads int `json:"fail_loads"`
	// Fatal restarts the engine whenever a run of that tag begins (engine).
	Fatal string `json:"fatal"`
	// HangLoads hangs as many loads until their caller leaves (engine).
	HangLoads int `json:"hang_loads"`
	// Limit is announced as the limit on requests a second in each answer; "" announces none.
	Limit string `json:"limit"`
	// LoseReplies cuts as many changing calls after they took effect.
	LoseReplies int `json:"lose_replies"`
	// Restart empties the engine and cuts what runs, at once.
	Restart bool `json:"restart"`
	// Restore restores the last copy, or the empty state if none was taken, and begins the next era
	// (key-value service).
	Restore bool `json:"restore"`
	// Truncate cuts as many answers in the middle (engine).
	Truncate int `json:"truncate"`
	// WrongModel answers as many runs under another model's name (engine).
	WrongModel int `json:"wrong_model"`
}

// faultSwitch guards the faults of a stand-in and applies the general ones.
type faultSwitch struct {
	// announcements is nil for a stand-in that announces nothing.
	announcements sandbarrow.NoticeWriter
	onSet         func(Faults)

	mu     sync.Mutex
	faults Faults
}

// get returns the faults in force.
func (s *faultSwitch) get() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Set replaces the faults in force.
func (s *faultSwitch) Set(f Faults) {
	s.mu.Lock()
	s.faults = f
	s.mu.Unlock()
	if s.onSet != nil {
		s.onSet(f)
	}
}

// take uses up one of the count that pick selects.
func (s *faultSwitch) take(pick func(*Faults) *int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := pick(&s.faults)
	if *n <= 0 {
		return false
	}
	*n--
	return true
}

// wrap serves POST /faults and applies the general faults to all other calls.
func (s *faultSwitch) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/faults" {
			s.serveSet(w, r)
			return
		}
		f := s.get()
		if f.DelayMS > 0 {
			time.Sleep(time.Duration(f.DelayMS) * time.Millisecond)
		}
		if f.Down {
			panic(http.ErrAbortHandler)
		}
		if s.announcements != nil {
			s.announcements.Write(w.Header(), sandbarrow.RawNotice{Draining: f.Draining, Limit: f.Limit})
		}
		changes := r.Method != http.MethodGet
		if changes && s.take(func(f *Faults) *int { return &f.LoseReplies }) {
			next.ServeHTTP(httptest.NewRecorder(), r)
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

// backsOff refuses a run where the faults say so.
func (s *faultSwitch) backsOff(w http.ResponseWriter, l *runLog) bool {
	f := s.get()
	if f.Backoff == "" {
		return false
	}
	l.addRefusal()
	s.announcements.Write(w.Header(), sandbarrow.RawNotice{Backoff: f.Backoff})
	http.Error(w, "no requests now", http.StatusServiceUnavailable)
	return true
}

func (s *faultSwitch) serveSet(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.Set(f)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // the peer may have left
}
