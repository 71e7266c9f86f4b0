package agent

import (
	"strconv"

	"github.com/juju/errors"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/wire"
)

// maxResponseBytes bounds a response that is buffered in memory.
const maxResponseBytes = 8 << 20

// frameSink receives an upstream's response. It forwards streamed responses frame by
// frame and buffers others for the result.
type frameSink struct {
	header   sandbarrow.ResponseHeader
	at       *attempt
	body     []byte
	frames   int
	buffered bool
}

// newFrameSink returns a sink. If cache is set, it buffers streamed responses too.
func newFrameSink(at *attempt, cache bool) *frameSink {
	return &frameSink{at: at, buffered: cache || !at.req.Stream}
}

// Begin receives the response header.
func (s *frameSink) Begin(a sandbarrow.ResponseHeader) error {
	s.header = a
	return nil
}

// Write receives the next part of the response body.
func (s *frameSink) Write(p []byte) (int, error) {
	if s.buffered {
		if len(s.body)+len(p) > maxResponseBytes {
			return 0, errors.Annotatef(sandbarrow.ErrUpstreamBroken, "response exceeds %d bytes", maxResponseBytes)
		}
		s.body = append(s.body, p...)
	}
	if !s.at.req.Stream || len(p) == 0 {
		return len(p), nil
	}
	f := wire.Frame{Data: p, Handle: s.at.req.Handle, Sequence: s.frames}
	if s.frames == 0 {
		f.ContentType, f.Status = s.header.ContentType, s.header.Status
	}
	s.frames++
	// An at-most-once run continues without its entry because its response is cached.
	if err := s.at.conn.notify(wire.MethodFrame, f); err != nil && s.at.req.AtMostOnceID == "" {
		return 0, errors.Annotate(sandbarrow.ErrUpstreamUnknown, err.Error())
	}
	return len(p), nil
}

// result returns the final message of a complete response.
func (s *frameSink) result() wire.AttemptResult {
	r := wire.AttemptResult{
		ContentType: s.header.ContentType,
		Frames:      s.frames,
		Outcome:     sandbarrow.OutcomeComplete,
		Status:      s.header.Status,
	}
	if !s.at.req.Stream {
		r.Body = s.body
	}
	return r
}

// cached returns the result in the form that is cached for retries of an at-most-once
// request. It names its origin because a retry may arrive under another version.
func (s *frameSink) cached(r wire.AttemptResult) wire.AttemptResult {
	if r.Outcome == sandbarrow.OutcomeComplete {
		r.Origin = &wire.Origin{Model: s.at.req.Model, Revision: s.at.req.Revision}
		r.Body = s.body
		r.Frames = 0
	}
	return r
}

func formatAttempt(n sandbarrow.Attempt) string {
	return strconv.FormatUint(uint64(n), 10)
}
