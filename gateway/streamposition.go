package gateway

import (
	"bytes"
	"strconv"

	"sandbarrow.example/sandbarrow/forward"
)

// streamPosition is the last event of a stream that its caller has: the one after which the caller
// resumes it, or the last one that was written to the caller. Each further attempt of a call resumes
// after it. An event that was read and not written leaves it unchanged.
type streamPosition struct {
	// lastEvent is the id of that event; "" before the first one.
	lastEvent string
	// unnumbered is set if data without an id was written since. No upstream can resume after it.
	unnumbered bool
}

// advance records that an event was written to the caller.
func (p *streamPosition) advance(event []byte) {
	if id := forward.EventID(event); id != "" {
		p.lastEvent, p.unnumbered = id, false
	} else if hasData(event) {
		p.unnumbered = true
	}
}

// hasData reports whether an event holds more than comments and fields without data.
func hasData(event []byte) bool {
	for line := range bytes.Lines(event) {
		if bytes.HasPrefix(line, []byte("data")) {
			return true
		}
	}
	return false
}

// isNext decides whether an event continues the stream. An event without an id, or with one that is
// not a number, always does.
func (p *streamPosition) isNext(event []byte) bool {
	next, err := strconv.ParseInt(forward.EventID(event), 10, 64)
	last, lastErr := strconv.ParseInt(p.lastEvent, 10, 64)
	return err != nil || lastErr != nil || next == last+1
}
