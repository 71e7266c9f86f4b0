package entry

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/config"
	"sandbarrow.example/sandbarrow/placement"
	"sandbarrow.example/sandbarrow/wire"
)

// completionBody holds the fields of a completion request that the entry uses.
type completionBody struct {
	Messages json.RawMessage `json:"messages"`
	Model    string          `json:"model"`
	Prompt   json.RawMessage `json:"prompt"`
	Stream   bool            `json:"stream"`
}

func (e *Entry) serveCompletion(r *request, path string) {
	body, refusal := readCompletion(r)
	if refusal != nil {
		e.refuse(r, refusal)
		return
	}
	resolved, err := r.view.Resolve(r.caller, body.Model, r.atMostOnce)
	if err != nil {
		reason := sandbarrow.ReasonConfiguration
		if errors.Is(err, config.ErrUnknownModel) {
			reason = sandbarrow.ReasonUnknownModel
		}
		e.refuse(r, sandbarrow.NotRun(reason, err.Error(), 0))
		return
	}
	permits, err := e.permits.permitted(r.view, e.fleet, permitKey{class: r.caller.Class, policy: resolved.Policy})
	if err != nil {
		e.refuse(r, sandbarrow.NotRun(sandbarrow.ReasonConfiguration, err.Error(), 0))
		return
	}
	r.adapter = resolved.Model
	j := &job{
		attempt: wire.AttemptRequest{
			Body:        r.body,
			ContentType: "application/json",
			ID:          r.id,
			Method:      http.MethodPost,
			Model:       resolved.Model,
			NoBatchWait: r.class.NoBatchWait,
			Path:        path,
			Priority:    resolved.Priority,
			Revision:    r.view.Revision,
			Stream:      body.Stream,
			Weights:     resolved.Weights,
		},
		caller:   r.caller.ID,
		deadline: r.deadline,
		route: sandbarrow.RouteRequest{
			BaseModel:   resolved.BaseModel,
			BatchWeight: r.view.Document.Weights.BatchEfficiency,
			Hash:        placement.HashModel(resolved.Model),
			Permitted:   permits,
			Urgent:      r.class.NoBatchWait,
		},
		stream: newResponseStream(),
	}
	if resolved.AtMostOnce {
		j.attempt.AtMostOnceID = r.onceID()
	}
	r.ctx.Response.Header.Set(headerModel, resolved.Model.String())
	e.respond(r, j)
}

func readCompletion(r *request) (completionBody, *sandbarrow.Refusal) {
	var b completionBody
	bad := func(detail string) (completionBody, *sandbarrow.Refusal) {
		return b, sandbarrow.NotRun(sandbarrow.ReasonBadRequest, detail, 0)
	}
	if !r.ctx.IsPost() {
		return bad("want POST")
	}
	if !bytes.HasPrefix(r.ctx.Request.Header.ContentType(), []byte("application/json")) {
		return bad("want content type application/json")
	}
	if err := json.Unmarshal(r.body, &b); err != nil {
		return bad("body: " + err.Error())
	}
	if b.Model == "" {
		return bad("body: model is missing")
	}
	if b.Messages == nil && b.Prompt == nil {
		return bad("body: prompt or messages is missing")
	}
	return b, nil
}

func (e *Entry) serveService(r *request, s *config.Service, path string) {
	if query := r.ctx.URI().QueryString(); len(query) > 0 {
		path += "?" + string(query)
	}
	j := &job{
		attempt: wire.AttemptRequest{
			Body:        r.body,
			ContentType: string(r.ctx.Request.Header.ContentType()),
			ID:          r.id,
			Method:      string(r.ctx.Method()),
			NoBatchWait: r.class.NoBatchWait,
			Path:        path,
			Priority:    r.class.Priority,
			Revision:    r.view.Revision,
		},
		caller:   r.caller.ID,
		deadline: r.deadline,
		route:    sandbarrow.RouteRequest{Service: s.ID, Hash: xxhash.Sum64String(string(r.onceID()))},
		stream:   newResponseStream(),
	}
	if s.AtMostOnce || r.atMostOnce {
		j.attempt.AtMostOnceID = r.onceID()
	}
	e.respond(r, j)
}

// dispatchResult is the result of a dispatch, or the refusal if it failed.
type dispatchResult struct {
	refusal *sandbarrow.Refusal
	result  wire.AttemptResult
}

// respond dispatches a job and writes the response to its caller.
func (e *Entry) respond(r *request, j *job) {
	r.ctx.Response.Header.Set(headerRequestID, string(r.id))
	r.ctx.Response.Header.Set(headerRevision, strconv.FormatUint(uint64(r.view.Revision), 10))
	if !j.attempt.Stream {
		result, refusal := e.dispatch(e.calls, j)
		e.writeResponse(r, result, refusal)
		return
	}
	ctx, cancel := context.WithCancel(e.calls)
	done := make(chan dispatchResult, 1)
	go func() {
		result, refusal := e.dispatch(ctx, j)
		if refusal == nil {
			j.stream.end(result.Frames)
		} else {
			j.stream.fail(refusal)
		}
		done <- dispatchResult{refusal: refusal, result: result}
	}()
	frames, err := j.stream.next(ctx)
	if len(frames) == 0 {
		// The stored response of an at-most-once request is returned complete, without frames.
		defer cancel()
		end := <-done
		if end.refusal == nil && err != nil {
			end.refusal = sandbarrow.Unknown(sandbarrow.ReasonResponseBroken, err.Error(), noUpstreamRetryAfter)
		}
		e.writeResponse(r, end.result, end.refusal)
		return
	}
	e.writeStream(ctx, cancel, r, j, frames, done)
}

func (e *Entry) writeResponse(r *request, result wire.AttemptResult, refusal *sandbarrow.Refusal) {
	if refusal != nil {
		e.refuse(r, refusal)
		return
	}
	e.recordFirstPart(r)
	if result.Origin != nil {
		setOriginHeaders(&r.ctx.Response.Header, *result.Origin)
	}
	r.ctx.SetStatusCode(result.Status)
	r.ctx.SetContentType(result.ContentType)
	r.ctx.SetBody(result.Body)
	e.recordResult(r, nil)
}

// setOriginHeaders sets the model and revision headers of a stored response to those that
// produced it. The retry may have been resolved to others. A header is left out if its value
// is unknown.
func setOriginHeaders(h *fasthttp.ResponseHeader, o wire.Origin) {
	h.Del(headerModel)
	h.Del(headerRevision)
	if !o.Model.IsZero() {
		h.Set(headerModel, o.Model.String())
	}
	if o.Revision != 0 {
		h.Set(headerRevision, strconv.FormatUint(uint64(o.Revision), 10))
	}
}

// writeStream relays frames as they arrive. If the stream breaks, the last event is an error
// event with the outcome.
func (e *Entry) writeStream(ctx context.Context, cancel context.CancelFunc, r *request, j *job, frames []wire.Frame, done <-chan dispatchResult) {
	e.recordFirstPart(r)
	r.ctx.SetStatusCode(frames[0].Status)
	r.ctx.SetContentType(frames[0].ContentType)
	// The HTTP library's context is invalid after the handler returns. The writer runs later and
	// uses this copy of the fields that it needs.
	retained := &request{adapter: r.adapter, caller: r.caller, id: r.id, view: r.view}
	r.ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		defer cancel()
		err := relayFrames(ctx, w, frames, j.stream)
		if errors.Is(err, errCallerLeft) || errors.Is(err, errSlowCaller) {
			cancel()
			end := <-done
			e.logger.Info("response to caller aborted", "request", string(retained.id), "error", err.Error())
			e.recordResult(retained, end.refusal)
			return
		}
		end := <-done
		if end.refusal == nil && err != nil {
			end.refusal = sandbarrow.Unknown(sandbarrow.ReasonResponseBroken, err.Error(), noUpstreamRetryAfter)
		}
		if end.refusal != nil {
			writeErrorEvent(w, retained.id, end.refusal)
		}
		e.recordResult(retained, end.refusal)
	})
}

// errCallerLeft means that writing to the caller failed.
const errCallerLeft = errors.ConstError("entry: caller left")

func relayFrames(ctx context.Context, w *bufio.Writer, frames []wire.Frame, s *responseStream) error {
	var err error
	for len(frames) > 0 {
		for _, f := range frames {
			if _, err := w.Write(f.Data); err != nil {
				return errors.Annotate(errCallerLeft, err.Error())
			}
		}
		if err := w.Flush(); err != nil {
			return errors.Annotate(errCallerLeft, err.Error())
		}
		if frames, err = s.next(ctx); err != nil {
			return err
		}
	}
	return nil
}

func writeErrorEvent(w *bufio.Writer, id sandbarrow.RequestID, refusal *sandbarrow.Refusal) {
	body, _ := json.Marshal(problemOf(id, refusal)) // strings and numbers always marshal
	_, _ = w.WriteString("event: error\ndata: ")
	_, _ = w.Write(body)
	_, _ = w.WriteString("\n\n")
	_ = w.Flush() // the caller may have disconnected
}
