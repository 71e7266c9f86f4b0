package standin

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"sandbarrow.example/sandbarrow"
)

// BoxList is a stand-in for the platform's list of boxes, which shows changes with a delay.
type BoxList struct {
	faultSwitch
	handler http.Handler
	lag     time.Duration
	mu      sync.Mutex
	visible []sandbarrow.Box
}

// NewBoxList returns a list that shows each change after lag.
func NewBoxList(lag time.Duration) *BoxList {
	b := &BoxList{lag: lag}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /boxes", func(w http.ResponseWriter, _ *http.Request) {
		b.mu.Lock()
		defer b.mu.Unlock()
		writeJSON(w, http.StatusOK, b.visible)
	})
	mux.HandleFunc("PUT /boxes", func(w http.ResponseWriter, r *http.Request) {
		var boxes []sandbarrow.Box
		if err := json.NewDecoder(r.Body).Decode(&boxes); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		b.Replace(boxes)
	})
	b.handler = b.wrap(mux)
	return b
}

// Add adds a box to the list without delay.
func (b *BoxList) Add(box sandbarrow.Box) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.visible = append(b.visible, box)
}

// Replace replaces the list after the lag.
func (b *BoxList) Replace(boxes []sandbarrow.Box) {
	show := func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.visible = boxes
	}
	if b.lag == 0 {
		show()
		return
	}
	time.AfterFunc(b.lag, show)
}

// ServeHTTP serves the list.
func (b *BoxList) ServeHTTP(w http.ResponseWriter, r *http.Request) { b.handler.ServeHTTP(w, r) }
