package forward

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/juju/errors"

	"sandbarrow.example/sandbarrow/internal/response"
	"sandbarrow.example/sandbarrow/internal/socket"
)

const (
	// syncBodyBytes is the largest body that is written before the response is read. It fits into
	// a socket's buffer. A larger body is written concurrently, because the upstream may respond
	// before it has read the whole body.
	syncBodyBytes = 8 << 10
	// maxStaleResponses bounds the responses to earlier requests that are skipped, and maxStaleBytes the
	// body of each.
	maxStaleResponses = 3
	maxStaleBytes     = 4 << 20
)

// Request is a request as it is sent to an upstream.
type Request struct {
	Body   []byte
	Header http.Header
	Host   string
	// Hold is called before bytes of the response are held in memory, besides the connection's buffers;
	// a negative number releases some. It may wait. If it returns an error, the response is broken. If
	// it is nil, nothing is counted.
	Hold func(bytes int) error
	// ID is the value that IDHeader must have in the response.
	ID       string
	IDHeader string
	Method   string
	// AllowSend is called when a connection is open, immediately before the request is written.
	// If it returns false, Send fails with ErrNotSent. If it is nil, the request is always sent.
	AllowSend func() bool
	// Target is the path and query, without any change to its encoding.
	Target string
	// Watch is called before the request is written, unless it is nil. received reports whether the
	// upstream has sent bytes that have not been read yet; it may be called at any time.
	Watch func(received func() bool)
}

// UpstreamResponse is a response whose header has been read. It must be closed.
type UpstreamResponse struct {
	Header http.Header
	Status int

	body *bufio.Reader
	conn *conn
	// counter is the request's Hold. heldHead and heldEvent are what the head and the last event hold.
	counter             func(bytes int) error
	heldHead, heldEvent int
	pool                *Pool
	stopCancel          func() bool
	resp                *http.Response
	complete            bool
	// streamBytes is the size of all events so far.
	streamBytes int
	written     chan error
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
	began := time.Now()
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	if r.Watch != nil {
		r.Watch(func() bool { return c.Look() == socket.Bytes })
	}
	rs := &UpstreamResponse{conn: c, counter: r.Hold, pool: p, stopCancel: stop}
	if err := rs.write(r); err != nil {
		rs.Close()
		return nil, broken(err)
	}
	if err := rs.readHeader(r); err != nil {
		if c.isSilent(ctx, err) {
			p.closeUnusedSince(began)
		}
		rs.Close()
		return nil, broken(err)
	}
	return rs, nil
}

// isSilent decides whether a connection that was idle before may have gone silent, by the error of reading
// a response: none of it arrived before the time for it was over, or before the kernel gave up. The
// connections that were idle at the same time may then be silent too. An end of ctx for another reason, as
// where the caller has left, shows nothing.
func (c *conn) isSilent(ctx context.Context, err error) bool {
	if c.lastUsed.IsZero() || c.bytes.bytes > 0 {
		return false
	}
	cause := context.Cause(ctx)
	return errors.Is(err, syscall.ETIMEDOUT) || cause != nil && !errors.Is(cause, context.Canceled)
}

// hold counts bytes that are to be held.
func (rs *UpstreamResponse) hold(bytes int) error {
	if rs.counter == nil {
		return nil
	}
	return rs.counter(bytes)
}

// release counts bytes that are no longer held.
func (rs *UpstreamResponse) release(bytes int) {
	if bytes > 0 {
		_ = rs.hold(-bytes) // releasing never fails
	}
}

// holdHead counts bytes of the head.
func (rs *UpstreamResponse) holdHead(bytes int) error {
	if err := rs.hold(bytes); err != nil {
		return err
	}
	rs.heldHead += bytes
	return nil
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
		rs.conn.bytes.beginHead(rs.holdHead)
		resp, err := http.ReadResponse(rs.conn.reader, &http.Request{Method: r.Method})
		rs.conn.bytes.endHead()
		if err != nil {
			return err
		}
		if err := checkHead(resp, r.IDHeader); err != nil {
			return err
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		response.GuardBody(resp)
		if resp.Header.Get(r.IDHeader) == r.ID {
			rs.Header, rs.Status, rs.resp = resp.Header, resp.StatusCode, resp
			rs.body = bufio.NewReader(resp.Body)
			return nil
		}
		if resp.Header.Get(r.IDHeader) == "" || resp.Close {
			return errors.Errorf("response has request ID %q", resp.Header.Get(r.IDHeader))
		}
		if err := discard(resp.Body); err != nil {
			return err
		}
	}
	return errors.New("too many responses to other requests")
}

// checkHead returns an error if the head of a response may not be used, or names two requests.
func checkHead(resp *http.Response, idHeader string) error {
	if err := response.CheckHead(resp); err != nil {
		return err
	}
	return response.CheckSingle(resp.Header, idHeader)
}

// discard reads the body of a response to an earlier request.
func discard(body io.Reader) error {
	switch _, err := io.CopyN(io.Discard, body, maxStaleBytes+1); err {
	case nil:
		return &TooLargeError{Limit: maxStaleBytes, Part: PartStale, Unit: "bytes"}
	case io.EOF:
		return nil
	default:
		return err
	}
}

// Close returns the connection to the pool if it can be reused: the request was written and the
// response read completely, no further bytes have arrived, the context of Send was not canceled,
// and the upstream keeps the connection open. Otherwise Close closes the connection.
func (rs *UpstreamResponse) Close() {
	rs.releaseEvent()
	rs.release(rs.heldHead)
	rs.heldHead = 0
	stopped := rs.stopCancel()
	if rs.complete && stopped && rs.requestWritten() && !rs.resp.Close && rs.conn.buffered() == 0 {
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
