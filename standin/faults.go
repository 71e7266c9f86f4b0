package standin

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"

	"sandbarrow.example/sandbarrow"
)

// Faults are the faults injected into one stand-in. Each call that a count affects decrements it.
type Faults struct {
	// Backoff rejects each run with this text as the backoff notice; "" rejects none.
	Backoff string `json:"backoff"`
	// Copy copies the state for a later Restore (key-value service).
	Copy bool `json:"copy"`
	// DelayMS delays each call by this number of milliseconds.
	DelayMS int `json:"delay_ms"`
	// Down aborts each call before it takes effect.
	Down bool `json:"down"`
	// Draining is the text of the drain notice in each response; "" sends none.
	Draining string `json:"draining"`
	// FailLoads is the number of loads to fail (engine).
	FailLoads int `json:"fail_loads"`
	// Fatal restarts the engine each time that a run with this tag starts (engine).
	Fatal string `json:"fatal"`
	// HangLoads is the number of loads that hang until their client disconnects (engine).
	HangLoads int `json:"hang_loads"`
	// Limit is the text of the notice in each response that limits requests per second; "" sends none.
	Limit string `json:"limit"`
	// LoseReplies is the number of mutating calls to abort after they took effect.
	LoseReplies int `json:"lose_replies"`
	// Restart unloads all adapters of the engine and aborts its requests at once.
	Restart bool `json:"restart"`
	// Restore restores the last copy, or the empty state if there is no copy, and starts the next era
	// (key-value service).
	Restore bool `json:"restore"`
	// Truncate is the number of responses to abort in the middle (engine).
	Truncate int `json:"truncate"`
	// WrongModel is the number of responses that name another model (engine).
	WrongModel int `json:"wrong_model"`
}

// faultSwitch stores the active faults of a stand-in and applies those common to all stand-ins.
type faultSwitch struct {
	// notices is nil for a stand-in that sends no notices.
	notices sandbarrow.NoticeWriter
	onSet   func(Faults)

	mu     sync.Mutex
	faults Faults
}

// get returns the active faults.
func (s *faultSwitch) get() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Set replaces the active faults.
func (s *faultSwitch) Set(f Faults) {
	s.mu.Lock()
	s.faults = f
	s.mu.Unlock()
	if s.onSet != nil {
		s.onSet(f)
	}
}

// consume decrements the count that pick selects. It returns false if the count is used up.
func (s *faultSwitch) consume(pick func(*Faults) *int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := pick(&s.faults)
	if *n <= 0 {
		return false
	}
	*n--
	return true
}

// wrap serves POST /faults and applies the common faults to all other calls.
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
		if s.notices != nil {
			s.notices.Write(w.Header(), sandbarrow.RawNotice{Draining: f.Draining, Limit: f.Limit})
		}
		mutating := r.Method != http.MethodGet
		if mutating && s.consume(func(f *Faults) *int { return &f.LoseReplies }) {
			next.ServeHTTP(httptest.NewRecorder(), r)
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

// rejectInBackoff rejects a run and returns true if the Backoff fault is set.
func (s *faultSwitch) rejectInBackoff(w http.ResponseWriter, l *runLog) bool {
	f := s.get()
	if f.Backoff == "" {
		return false
	}
	l.addRefusal()
	s.notices.Write(w.Header(), sandbarrow.RawNotice{Backoff: f.Backoff})
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
	_ = json.NewEncoder(w).Encode(v) // the client may have disconnected
}
