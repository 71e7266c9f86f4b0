package standin

import (
	"net/http"
	"sync"
)

// Run is one execution of a request.
type Run struct {
	Model   string `json:"model,omitempty"`
	Path    string `json:"path"`
	Request string `json:"request"`
	Tag     string `json:"tag"`
}

// OrderRecord is one load or unload, with the number of requests that its model had at that time.
type OrderRecord struct {
	Model   string `json:"model"`
	Running int    `json:"running"`
	Unload  bool   `json:"unload"`
}

// Log holds the orders and runs of a stand-in upstream.
type Log struct {
	Orders []OrderRecord `json:"orders"`
	// Refused counts the runs that were rejected with a backoff notice.
	Refused int   `json:"refused"`
	Runs    []Run `json:"runs"`
}

type runLog struct {
	log Log
	mu  sync.Mutex
}

func (l *runLog) addOrder(o OrderRecord) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.log.Orders = append(l.log.Orders, o)
}

func (l *runLog) addRefusal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.log.Refused++
}

func (l *runLog) addRun(r Run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.log.Runs = append(l.log.Runs, r)
}

func (l *runLog) copy() Log {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Log{Orders: append([]OrderRecord(nil), l.log.Orders...), Refused: l.log.Refused, Runs: append([]Run(nil), l.log.Runs...)}
}

func (l *runLog) serve(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, l.copy())
}
