package entry

import (
	"context"
	"sync"

	"github.com/juju/errors"

	"sandbarrow.example/sandbarrow/wire"
)

// maxBufferedBytes bounds the response bytes that are buffered for a slow caller.
const maxBufferedBytes = 4 << 20

// The errors of a responseStream.
const (
	// errFrameSequence means that frames were lost or arrived out of order.
	errFrameSequence = errors.ConstError("entry: frames lost or out of order")
	// errSlowCaller means that the caller reads too slowly and the buffer is full.
	errSlowCaller = errors.ConstError("entry: caller reads too slowly")
)

// responseStream buffers the frames of one attempt between agent and caller.
type responseStream struct {
	mu       sync.Mutex
	buffered int
	changed  chan struct{}
	ended    bool
	err      error
	frames   []wire.Frame
	received int
}

func newResponseStream() *responseStream {
	return &responseStream{changed: make(chan struct{})}
}

// push appends the next frame. It never blocks: one slow caller must not block the
// connection, which other requests share.
func (s *responseStream) push(f wire.Frame) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.err != nil || s.ended:
		return
	case f.Sequence != s.received:
		s.err = errFrameSequence
	case s.buffered+len(f.Data) > maxBufferedBytes:
		s.err = errSlowCaller
	default:
		s.frames = append(s.frames, f)
		s.buffered += len(f.Data)
		s.received++
	}
	s.wake()
}

// end closes the stream. want is the number of frames of the complete response.
func (s *responseStream) end(want int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.received != want && s.err == nil {
		s.err = errFrameSequence
	}
	s.ended = true
	s.wake()
}

// fail closes the stream with an error.
func (s *responseStream) fail(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err == nil {
		s.err = err
	}
	s.wake()
}

// wake wakes the reader. The caller must hold mu.
func (s *responseStream) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// any reports whether a frame has been received.
func (s *responseStream) any() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.received > 0
}

// next waits for frames. It returns none at the end of the response.
func (s *responseStream) next(ctx context.Context) ([]wire.Frame, error) {
	for {
		s.mu.Lock()
		frames, ended, err, changed := s.frames, s.ended, s.err, s.changed
		s.frames, s.buffered = nil, 0
		s.mu.Unlock()
		if len(frames) > 0 {
			return frames, nil
		}
		if ended || err != nil {
			return nil, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}
