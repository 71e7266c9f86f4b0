package standin

import (
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"time"

	"sandbarrow.example/sandbarrow"
)

// PlainService is a stand-in for a service whose calls may be unsafe to retry.
type PlainService struct {
	faultSwitch
	handler http.Handler
	log     runLog
	// callTime is the duration of one call.
	callTime time.Duration
}

// NewPlainService returns a service whose calls take callTime each. It uses notices to
// write its drain, backoff and limit notices into responses.
func NewPlainService(callTime time.Duration, notices sandbarrow.NoticeWriter) *PlainService {
	s := &PlainService{faultSwitch: faultSwitch{notices: notices}, callTime: callTime}
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
	if s.rejectInBackoff(w, &s.log) {
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	id := r.Header.Get("X-Request-Id")
	s.log.addRun(Run{Request: id, Path: r.URL.Path, Tag: tag(body)})
	if s.callTime > 0 {
		time.Sleep(s.callTime)
	}
	writeJSON(w, http.StatusOK, map[string]string{"request_id": id, "receipt": tag(body)})
}

// tag returns a short digest of a request body. Callers use it to match a response with its request.
func tag(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:8])
}
