package agent

import (
	"strconv"

	"github.com/juju/errors"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/wire"
)

// maxAnswerBytes bounds an answer that is held in memory.
const maxAnswerBytes = 8 << 20

// frameSink takes an upstream's answer: streamed ones go out frame by frame,
// whole ones are gathered for the result.
type frameSink struct {
	answer sandbarrow.ResponseHeader
	at     *attempt
	body   []byte
	frames int
	gather bool
}

// newFrameSink returns a sink; keep gathers streamed answers too.
func newFrameSink(at *attempt, keep bool) *frameSink {
	return &frameSink{at: at, gather: keep || !at.req.Stream}
}

// Begin takes the head of the answer.
func (s *frameSink) Begin(a sandbarrow.ResponseHeader) error {
	s.answer = a
	return nil
}

// Write takes one part.
func (s *frameSink) Write(p []byte) (int, error) {
	if s.gather {
		if len(s.body)+len(p) > maxAnswerBytes {
			return 0, errors.Annotatef(sandbarrow.ErrUpstreamBroken, "answer is over %d bytes", maxAnswerBytes)
		}
		s.body = append(s.body, p...)
	}
	if !s.at.req.Stream || len(p) == 0 {
		return len(p), nil
	}
	f := wire.Frame{Data: p, Handle: s.at.req.Handle, Sequence: s.frames}
	if s.frames == 0 {
		f.ContentType, f.Status = s.answer.ContentType, s.answer.Status
	}
	s.frames++
	// A once-only run goes on without its entry; its answer is kept.
	if err := s.at.conn.notify(wire.MethodFrame, f); err != nil && s.at.req.OnceID == "" {
		return 0, errors.Annotate(sandbarrow.ErrUpstreamUnknown, err.Error())
	}
	return len(p), nil
}

// result is the final message of a whole answer.
func (s *frameSink) result() wire.AttemptResult {
	r := wire.AttemptResult{
		ContentType: s.answer.ContentType,
		Frames:      s.frames,
		Outcome:     sandbarrow.OutcomeComplete,
		Status:      s.answer.Status,
	}
	if !s.at.req.Stream {
		r.Body = s.body
	}
	return r
}

// kept is the result as it is kept for repeats of a once-only request. It names its
// origin, since a repeat may come under another version.
func (s *frameSink) kept(r wire.AttemptResult) wire.AttemptResult {
	if r.Outcome == sandbarrow.OutcomeComplete {
		r.Origin = &wire.Origin{Model: s.at.req.Model, Revision: s.at.req.Revision}
		r.Body = s.body
		r.Frames = 0
	}
	return r
}

func itoa(n sandbarrow.Attempt) string {
	return strconv.FormatUint(uint64(n), 10)
}
