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
	// syncBodyBytes is the largest body that is written before the response is read. It fits into
	// a socket's buffer. A larger body is written concurrently, because the upstream may respond
	// before it has read the whole body.
	syncBodyBytes = 8 << 10
	// maxEventBytes bounds the size of one event of a stream.
	maxEventBytes = 1 << 20
	// maxStaleResponses bounds the responses to earlier requests that are skipped.
	maxStaleResponses = 3
)

// Request is a request as it is sent to an upstream.
type Request struct {
	Body   []byte
	Header http.Header
	Host   string
	// ID is the value that IDHeader must have in the response.
	ID       string
	IDHeader string
	Method   string
	// AllowSend is called when a connection is open, immediately before the request is written.
	// If it returns false, Send fails with ErrNotSent. If it is nil, the request is always sent.
	AllowSend func() bool
	// Target is the path and query, without any change to its encoding.
	Target string
}

// UpstreamResponse is a response whose header has been read. It must be closed.
type UpstreamResponse struct {
	Header http.Header
	Status int

	body       *bufio.Reader
	conn       *conn
	pool       *Pool
	stopCancel func() bool
	resp       *http.Response
	complete   bool
	written    chan error
}

// Send sends a request to the upstream and reads the header of its response. The caller must
// close the response. The connection is closed if ctx is canceled before that. The error is
// ErrNotSent or ErrBroken.
func (p *Pool) Send(ctx context.Context, r *Request) (*UpstreamResponse, error) {
	c, err := p.get(ctx)
	if err != nil {
		return nil, err
	}
	if r.AllowSend != nil && !r.AllowSend() {
		_ = c.Close()
		return nil, errors.Annotate(ErrNotSent, "AllowSend returned false")
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	rs := &UpstreamResponse{conn: c, pool: p, stopCancel: stop}
	if err := rs.write(r); err != nil {
		rs.Close()
		return nil, errors.Annotate(ErrBroken, err.Error())
	}
	if err := rs.readHeader(r); err != nil {
		rs.Close()
		return nil, errors.Annotate(ErrBroken, err.Error())
	}
	return rs, nil
}

func (rs *UpstreamResponse) write(r *Request) error {
	var b bytes.Buffer
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	_ = r.Header.Write(&b) // writing to a bytes.Buffer never fails
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	b.Write(r.Body)
	if len(r.Body) <= syncBodyBytes {
		_, err := rs.conn.Write(b.Bytes())
		return err
	}
	rs.written = make(chan error, 1)
	go func() {
		_, err := rs.conn.Write(b.Bytes())
		rs.written <- err
	}()
	return nil
}

// readHeader reads response headers until one has the request's ID. It skips late responses to
// earlier requests on this connection.
func (rs *UpstreamResponse) readHeader(r *Request) error {
	for range maxStaleResponses + 1 {
		resp, err := http.ReadResponse(rs.conn.reader, &http.Request{Method: r.Method})
		if err != nil {
			return err
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		if resp.Header.Get(r.IDHeader) == r.ID {
			rs.Header, rs.Status, rs.resp = resp.Header, resp.StatusCode, resp
			rs.body = bufio.NewReader(resp.Body)
			return nil
		}
		if resp.Header.Get(r.IDHeader) == "" || resp.Close {
			return errors.Errorf("response has request ID %q", resp.Header.Get(r.IDHeader))
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return err
		}
	}
	return errors.New("too many responses to other requests")
}

// Body reads the complete body, which must not exceed limit bytes.
func (rs *UpstreamResponse) Body(limit int) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(rs.body, int64(limit)+1))
	if err != nil {
		return nil, errors.Annotate(ErrBroken, err.Error())
	}
	if len(body) > limit {
		return nil, &TooLargeError{Part: PartBody, Limit: int64(limit)}
	}
	rs.complete = true
	return body, nil
}

// Event reads one complete event of a stream, including the empty line at its end. It returns
// io.EOF when the stream is complete.
func (rs *UpstreamResponse) Event() ([]byte, error) {
	var event []byte
	for {
		line, err := rs.body.ReadSlice('\n')
		event = append(event, line...)
		if errors.Is(err, bufio.ErrBufferFull) && len(event) < maxEventBytes {
			continue
		}
		if err == io.EOF && len(event) == 0 {
			rs.complete = true
			return nil, io.EOF
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			return nil, &TooLargeError{Part: PartEvent, Limit: maxEventBytes}
		}
		if err != nil {
			return nil, errors.Annotatef(ErrBroken, "event truncated after %d bytes: %v", len(event), err)
		}
		if len(event) > maxEventBytes {
			return nil, &TooLargeError{Part: PartEvent, Limit: maxEventBytes}
		}
		if end := strings.TrimRight(string(line), "\r\n"); end == "" && len(event) > len(line) {
			return event, nil
		}
	}
}

// EndsWithEvent reports whether a stream that has been read completely ends with a complete event, or
// is empty. One that ends within an event has been broken off, whatever its framing says.
func EndsWithEvent(stream []byte) bool {
	for _, end := range []string{"\n\n", "\r\n\r\n", "\n\r\n"} {
		if bytes.HasSuffix(stream, []byte(end)) {
			return true
		}
	}
	return len(stream) == 0
}

// EventID returns the ID of an event, or "" if it has none.
func EventID(event []byte) string {
	for line := range bytes.Lines(event) {
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(id))
		}
	}
	return ""
}

// Close returns the connection to the pool if it can be reused: the request was written and the
// response read completely, no further bytes have arrived, the context of Send was not canceled,
// and the upstream keeps the connection open. Otherwise Close closes the connection.
func (rs *UpstreamResponse) Close() {
	stopped := rs.stopCancel()
	if rs.complete && stopped && rs.requestWritten() && !rs.resp.Close && rs.conn.reader.Buffered() == 0 {
		rs.pool.put(rs.conn, keepAliveTimeout(rs.Header))
		return
	}
	_ = rs.conn.Close()
}

// requestWritten reports whether the complete request has been written.
func (rs *UpstreamResponse) requestWritten() bool {
	if rs.written == nil {
		return true
	}
	select {
	case err := <-rs.written:
		return err == nil
	default:
		return false
	}
}

// keepAliveTimeout returns how long the upstream keeps an idle connection open, or 0 if the header
// doesn't name it.
func keepAliveTimeout(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		seconds, err := strconv.Atoi(strings.TrimSpace(value))
		if strings.EqualFold(name, "timeout") && err == nil {
			return time.Duration(seconds) * time.Second
		}
	}
	return 0
}
