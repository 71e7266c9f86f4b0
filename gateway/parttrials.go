package gateway

import (
	"sync"

	"sandbarrow.example/sandbarrow/crash"
)

// partTrials holds the suspected parts of which a request is in flight. They are no more than the
// requests in flight. It is safe for concurrent use.
type partTrials struct {
	mu       sync.Mutex
	inFlight map[crash.Fingerprint]bool
}

// begin begins the trial of a part, unless one is in flight.
func (t *partTrials) begin(part crash.Fingerprint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.inFlight[part] {
		return false
	}
	if t.inFlight == nil {
		t.inFlight = map[crash.Fingerprint]bool{}
	}
	t.inFlight[part] = true
	return true
}

func (t *partTrials) end(part crash.Fingerprint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.inFlight, part)
}
