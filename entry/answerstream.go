package entry

import (
	"context"
	"sync"

	"github.com/juju/errors"

	"sandbarrow.example/sandbarrow/wire"
)

// maxBufferedBytes is how far a caller may fall behind its answer.
const maxBufferedBytes = 4 << 20

// The errors of an answerStream.
const (
	// errFrames means that frames were lost or came out of order.
	errFrames = errors.ConstError("entry: frames lost or out of order")
	// errSlowCaller means that the caller reads too slowly.
	errSlowCaller = errors.ConstError("entry: caller reads too slowly")
)

// answerStream holds the frames of one attempt between agent and caller.
type answerStream struct {
	mu       sync.Mutex
	buffered int
	changed  chan struct{}
	ended    bool
	err      error
	frames   []wire.Frame
	received int
}

func newAnswerStream() *answerStream {
	return &answerStream{changed: make(chan struct{})}
}

// push takes the next frame. It never blocks, so that one slow caller does not
// hold up the connection.
func (s *answerStream) push(f wire.Frame) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.err != nil || s.ended:
		return
	case f.Sequence != s.received:
		s.err = errFrames
	case s.buffered+len(f.Data) > maxBufferedBytes:
		s.err = errSlowCaller
	default:
		s.frames = append(s.frames, f)
		s.buffered += len(f.Data)
		s.received++
	}
	s.wake()
}

// end closes the stream; want is the number of frames of the whole answer.
func (s *answerStream) end(want int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.received != want && s.err == nil {
		s.err = errFrames
	}
	s.ended = true
	s.wake()
}

// fail closes the stream with an error.
func (s *answerStream) fail(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err == nil {
		s.err = err
	}
	s.wake()
}

// wake wakes the reader. The caller holds mu.
func (s *answerStream) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// any reports whether a frame has come.
func (s *answerStream) any() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.received > 0
}

// next waits for frames; it returns none at the end of the answer.
func (s *answerStream) next(ctx context.Context) ([]wire.Frame, error) {
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
