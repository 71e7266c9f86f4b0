package standin

import (
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"time"

	"sandbarrow.example/sandbarrow"
)

// PlainService is a stand-in for a service whose calls may not be repeatable.
type PlainService struct {
	faultSwitch
	handler http.Handler
	log     runLog
	// work is the time of one call.
	work time.Duration
}

// NewPlainService returns a service whose calls take work. What it announces of itself is written
// by announcements.
func NewPlainService(work time.Duration, announcements sandbarrow.NoticeWriter) *PlainService {
	s := &PlainService{faultSwitch: faultSwitch{announcements: announcements}, work: work}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /log", s.log.serve)
	mux.HandleFunc("GET /healthz", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("/", s.serve)
	s.handler = s.wrap(mux)
	return s
}

// Log returns the runs so far.
func (s *PlainService) Log() Log { return s.log.copy() }

// ServeHTTP serves calls.
func (s *PlainService) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.handler.ServeHTTP(w, r) }

func (s *PlainService) serve(w http.ResponseWriter, r *http.Request) {
	if s.backsOff(w, &s.log) {
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	id := r.Header.Get("X-Request-Id")
	s.log.addRun(Run{Request: id, Path: r.URL.Path, Tag: tag(body)})
	if s.work > 0 {
		time.Sleep(s.work)
	}
	writeJSON(w, http.StatusOK, map[string]string{"request_id": id, "receipt": tag(body)})
}

// tag is a short digest by which a checker matches an answer with its request.
func tag(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:8])
}
