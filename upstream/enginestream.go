package upstream

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"

	"github.com/juju/errors"

	"sandbarrow.example/sandbarrow"
)

const (
	// maxResumes bounds how often an interrupted stream is resumed.
	maxResumes = 2
	// maxEventBytes bounds the size of one event of a stream.
	maxEventBytes     = 1 << 20
	streamBufferBytes = 32 << 10
)

var (
	dataPrefix = []byte("data: ")
	doneData   = []byte("[DONE]")
	idPrefix   = []byte("id: ")
)

// eventStream relays server-sent events and records the ID of the last one, to resume after it.
type eventStream struct {
	lastID     string
	model      sandbarrow.ModelRef
	modelField []byte
	pending    bytes.Buffer
	sink       sandbarrow.Sink
}

// runStream relays a stream to its end. An interrupted stream is resumed.
func (e *Engine) runStream(ctx context.Context, j sandbarrow.Job, resp *http.Response, s sandbarrow.Sink) error {
	if err := s.Begin(sandbarrow.ResponseHeader{ContentType: resp.Header.Get("Content-Type"), Status: resp.StatusCode}); err != nil {
		return err
	}
	es := &eventStream{model: j.Model, modelField: []byte(`"model":` + strconv.Quote(j.Model.String())), sink: s, lastID: "0"}
	err := es.relay(resp.Body)
	for range maxResumes {
		if !errors.Is(err, io.ErrUnexpectedEOF) || ctx.Err() != nil {
			break
		}
		err = e.resume(ctx, j, es)
	}
	if errors.Is(err, io.ErrUnexpectedEOF) {
		return errors.Annotate(sandbarrow.ErrUpstreamBroken, "stream interrupted before its end")
	}
	return err
}

func (e *Engine) resume(ctx context.Context, j sandbarrow.Job, es *eventStream) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, e.baseURL+"/v1/streams/"+string(j.ID), nil)
	if err != nil {
		return errors.Annotate(sandbarrow.ErrUpstreamBroken, err.Error())
	}
	req.Header.Set("Last-Event-ID", es.lastID)
	e.observer.Resumed()
	resp, err := do(e.client, req, e.observer)
	if err != nil {
		return transportError(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Annotatef(sandbarrow.ErrUpstreamBroken, "interrupted stream not resumed: status %d", resp.StatusCode)
	}
	return es.relay(resp.Body)
}

// relay writes complete events to the sink. It returns io.ErrUnexpectedEOF if the stream ends
// before its last event.
func (es *eventStream) relay(body io.Reader) error {
	r := bufio.NewReaderSize(body, streamBufferBytes)
	var event []byte
	for {
		line, err := r.ReadSlice('\n')
		if len(event)+len(line) > maxEventBytes {
			return errors.Annotatef(sandbarrow.ErrUpstreamBroken, "event exceeds %d bytes", maxEventBytes)
		}
		event = append(event, line...)
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			return io.ErrUnexpectedEOF
		}
		if len(bytes.TrimRight(line, "\r\n")) > 0 {
			continue
		}
		done, err := es.buffer(event)
		if err != nil {
			return err
		}
		event = event[:0]
		if done || r.Buffered() == 0 {
			if err := es.flush(); done || err != nil {
				return err
			}
		}
	}
}

// buffer checks one event and buffers it until the next flush.
func (es *eventStream) buffer(event []byte) (done bool, err error) {
	var data []byte
	id := es.lastID
	for line := range bytes.Lines(event) {
		line = bytes.TrimRight(line, "\r\n")
		if v, ok := bytes.CutPrefix(line, dataPrefix); ok {
			data = v
		} else if v, ok := bytes.CutPrefix(line, idPrefix); ok {
			id = string(v)
		}
	}
	done = bytes.Equal(data, doneData)
	if len(data) > 0 && !done && !bytes.Contains(data, es.modelField) {
		if err := checkModel(data, es.model); err != nil {
			return false, err
		}
	}
	es.lastID = id
	es.pending.Write(event)
	return done, nil
}

func (es *eventStream) flush() error {
	_, err := es.sink.Write(es.pending.Bytes())
	es.pending.Reset()
	return err
}
