package forward

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
)

const (
	// syncBodyBytes is the largest body that is written before the answer is read; a larger one may
	// be answered before it has been read. It fits into a socket's buffer.
	syncBodyBytes = 8 << 10
	// maxEventBytes bounds one event of a stream.
	maxEventBytes = 1 << 20
	// maxSurplus is how many answers to others are skipped.
	maxSurplus = 3
)

// Request is a request as an upstream gets it.
type Request struct {
	Body   []byte
	Header http.Header
	Host   string
	// ID must come back in IDHeader of the answer.
	ID       string
	IDHeader string
	Method   string
	// MayLeave is asked right before the request leaves, after a connection has come about; false
	// ends the send as ErrNotSent. nil sends in any case.
	MayLeave func() bool
	// Target is the path and query, unaltered.
	Target string
}

// Response is an answer whose head has been read.
type Response struct {
	Header http.Header
	Status int

	body    *bufio.Reader
	conn    *conn
	pool    *Pool
	release func() bool
	resp    *http.Response
	whole   bool
	written chan error
}

// Send gives a request to the upstream and reads the head of its answer. The
// answer must be closed. When ctx ends, the connection is closed. The error is
// ErrNotSent or ErrBroken.
func (p *Pool) Send(ctx context.Context, r *Request) (*Response, error) {
	c, err := p.get(ctx)
	if err != nil {
		return nil, err
	}
	if r.MayLeave != nil && !r.MayLeave() {
		_ = c.Close()
		return nil, errors.Annotate(ErrNotSent, "withheld")
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	a := &Response{conn: c, pool: p, release: stop}
	if err := a.write(r); err != nil {
		a.Close()
		return nil, errors.Annotate(ErrBroken, err.Error())
	}
	if err := a.readHead(r); err != nil {
		a.Close()
		return nil, errors.Annotate(ErrBroken, err.Error())
	}
	return a, nil
}

func (a *Response) write(r *Request) error {
	var b bytes.Buffer
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	_ = r.Header.Write(&b) // a Buffer never fails
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	b.Write(r.Body)
	if len(r.Body) <= syncBodyBytes {
		_, err := a.conn.Write(b.Bytes())
		return err
	}
	a.written = make(chan error, 1)
	go func() {
		_, err := a.conn.Write(b.Bytes())
		a.written <- err
	}()
	return nil
}

// readHead reads heads until one carries the request's id. An answer to
// another request, late on this connection, is skipped.
func (a *Response) readHead(r *Request) error {
	for range maxSurplus + 1 {
		resp, err := http.ReadResponse(a.conn.reader, &http.Request{Method: r.Method})
		if err != nil {
			return err
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		if resp.Header.Get(r.IDHeader) == r.ID {
			a.Header, a.Status, a.resp = resp.Header, resp.StatusCode, resp
			a.body = bufio.NewReader(resp.Body)
			return nil
		}
		if resp.Header.Get(r.IDHeader) == "" || resp.Close {
			return errors.Errorf("answer with id %q", resp.Header.Get(r.IDHeader))
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return err
		}
	}
	return errors.New("only answers to other requests")
}

// Body reads the whole body, of at most limit bytes.
func (a *Response) Body(limit int) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(a.body, int64(limit)+1))
	if err != nil {
		return nil, errors.Annotate(ErrBroken, err.Error())
	}
	if len(body) > limit {
		return nil, errors.Annotatef(ErrBroken, "body over %d bytes", limit)
	}
	a.whole = true
	return body, nil
}

// Event reads one complete event of a stream, with the empty line that ends it.
// io.EOF means that the stream is complete.
func (a *Response) Event() ([]byte, error) {
	var event []byte
	for {
		line, err := a.body.ReadSlice('\n')
		event = append(event, line...)
		if errors.Is(err, bufio.ErrBufferFull) && len(event) < maxEventBytes {
			continue
		}
		if err == io.EOF && len(event) == 0 {
			a.whole = true
			return nil, io.EOF
		}
		if err != nil {
			return nil, errors.Annotatef(ErrBroken, "event cut after %d bytes: %v", len(event), err)
		}
		if len(event) > maxEventBytes {
			return nil, errors.Annotatef(ErrBroken, "event over %d bytes", maxEventBytes)
		}
		if end := strings.TrimRight(string(line), "\r\n"); end == "" && len(event) > len(line) {
			return event, nil
		}
	}
}

// EventID returns the id of an event, or "".
func EventID(event []byte) string {
	for line := range bytes.Lines(event) {
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(id))
		}
	}
	return ""
}

// Close gives the connection back if the answer was read to its end and nothing
// else is under way on it; else it closes the connection.
func (a *Response) Close() {
	stopped := a.release()
	if a.whole && stopped && a.wasWritten() && !a.resp.Close && a.conn.reader.Buffered() == 0 {
		a.pool.put(a.conn, idleTime(a.Header))
		return
	}
	_ = a.conn.Close()
}

// wasWritten reports whether the upstream has taken the whole request.
func (a *Response) wasWritten() bool {
	if a.written == nil {
		return true
	}
	select {
	case err := <-a.written:
		return err == nil
	default:
		return false
	}
}

// idleTime reads how long the upstream keeps an idle connection.
func idleTime(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		seconds, err := strconv.Atoi(strings.TrimSpace(value))
		if strings.EqualFold(name, "timeout") && err == nil {
			return time.Duration(seconds) * time.Second
		}
	}
	return 0
}
