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

// completionBody is what the entry reads of a completion request.
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
	resolved, err := r.view.Resolve(r.caller, body.Model, r.marked)
	if err != nil {
		reason := sandbarrow.ReasonConfiguration
		if errors.Is(err, config.ErrUnknownModel) {
			reason = sandbarrow.ReasonUnknownModel
		}
		e.refuse(r, sandbarrow.NotRun(reason, err.Error(), 0))
		return
	}
	places, err := e.places.permitted(r.view, e.fleet, placeKey{class: r.caller.Class, policy: resolved.Policy})
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
			Permitted:   places,
			Urgent:      r.class.NoBatchWait,
		},
		stream: newAnswerStream(),
	}
	if resolved.AtMostOnce {
		j.attempt.OnceID = r.onceID()
	}
	r.ctx.Response.Header.Set(headerModel, resolved.Model.String())
	e.answer(r, j)
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
		stream:   newAnswerStream(),
	}
	if s.AtMostOnce || r.marked {
		j.attempt.OnceID = r.onceID()
	}
	e.answer(r, j)
}

// ended is the end of a dispatch.
type ended struct {
	refusal *sandbarrow.Refusal
	result  wire.AttemptResult
}

// answer dispatches a job and answers its caller.
func (e *Entry) answer(r *request, j *job) {
	r.ctx.Response.Header.Set(headerRequestID, string(r.id))
	r.ctx.Response.Header.Set(headerRevision, strconv.FormatUint(uint64(r.view.Revision), 10))
	if !j.attempt.Stream {
		result, refusal := e.dispatch(e.work, j)
		e.answerWhole(r, result, refusal)
		return
	}
	ctx, cancel := context.WithCancel(e.work)
	done := make(chan ended, 1)
	go func() {
		result, refusal := e.dispatch(ctx, j)
		if refusal == nil {
			j.stream.end(result.Frames)
		} else {
			j.stream.fail(refusal)
		}
		done <- ended{refusal: refusal, result: result}
	}()
	frames, err := j.stream.next(ctx)
	if len(frames) == 0 {
		// A kept answer of a once-only request comes whole, without frames.
		defer cancel()
		end := <-done
		if end.refusal == nil && err != nil {
			end.refusal = sandbarrow.Unknown(sandbarrow.ReasonResponseBroken, err.Error(), noUpstreamPause)
		}
		e.answerWhole(r, end.result, end.refusal)
		return
	}
	e.answerStream(ctx, cancel, r, j, frames, done)
}

func (e *Entry) answerWhole(r *request, result wire.AttemptResult, refusal *sandbarrow.Refusal) {
	if refusal != nil {
		e.refuse(r, refusal)
		return
	}
	e.countFirst(r)
	if result.Origin != nil {
		labelKept(&r.ctx.Response.Header, *result.Origin)
	}
	r.ctx.SetStatusCode(result.Status)
	r.ctx.SetContentType(result.ContentType)
	r.ctx.SetBody(result.Body)
	e.count(r, nil)
}

// labelKept labels a kept answer with what made it, in place of what its repeat was
// resolved to. What is not known is not claimed.
func labelKept(h *fasthttp.ResponseHeader, o wire.Origin) {
	h.Del(headerModel)
	h.Del(headerRevision)
	if !o.Model.IsZero() {
		h.Set(headerModel, o.Model.String())
	}
	if o.Revision != 0 {
		h.Set(headerRevision, strconv.FormatUint(uint64(o.Revision), 10))
	}
}

// answerStream relays frames as they come. A stream that breaks ends in an
// error event that carries the outcome.
func (e *Entry) answerStream(ctx context.Context, cancel context.CancelFunc, r *request, j *job, frames []wire.Frame, done <-chan ended) {
	e.countFirst(r)
	r.ctx.SetStatusCode(frames[0].Status)
	r.ctx.SetContentType(frames[0].ContentType)
	// The context of the HTTP library ends with the handler; what the writer
	// needs of the request is held apart.
	held := &request{adapter: r.adapter, caller: r.caller, id: r.id, view: r.view}
	r.ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		defer cancel()
		err := relayFrames(ctx, w, frames, j.stream)
		if errors.Is(err, errCallerLeft) || errors.Is(err, errSlowCaller) {
			cancel()
			end := <-done
			e.logger.Info("caller left", "request", string(held.id), "error", err.Error())
			e.count(held, end.refusal)
			return
		}
		end := <-done
		if end.refusal == nil && err != nil {
			end.refusal = sandbarrow.Unknown(sandbarrow.ReasonResponseBroken, err.Error(), noUpstreamPause)
		}
		if end.refusal != nil {
			writeErrorEvent(w, held.id, end.refusal)
		}
		e.count(held, end.refusal)
	})
}

// errCallerLeft means that the caller takes no more.
const errCallerLeft = errors.ConstError("entry: caller left")

func relayFrames(ctx context.Context, w *bufio.Writer, frames []wire.Frame, s *answerStream) error {
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
	body, _ := json.Marshal(problemOf(id, refusal)) // plain texts and numbers always marshal
	_, _ = w.WriteString("event: error\ndata: ")
	_, _ = w.Write(body)
	_, _ = w.WriteString("\n\n")
	_ = w.Flush() // the caller may have left
}
