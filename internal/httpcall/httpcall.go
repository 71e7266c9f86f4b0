// Package httpcall makes single HTTP calls to the outside systems: the stores,
// the list of boxes and the orders to engines. It owns how a request is built,
// sent and read to its end, and tells a call that was never sent from one that
// may have taken effect. It translates no status and retries nothing; its callers
// turn its errors into their own. The context ends a call in flight.
package httpcall

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"

	"github.com/juju/errors"
)

// The errors of a call.
const (
	// ErrNotSent means that no connection came about, so the call had no effect.
	ErrNotSent = errors.ConstError("httpcall: not sent")
	// ErrUnknown means that the call may have taken effect.
	ErrUnknown = errors.ConstError("httpcall: outcome unknown")
)

// Call is one call.
type Call struct {
	// Body is sent as it is; an empty one is sent as no body.
	Body []byte
	// Header holds the request's own headers; it may be nil.
	Header http.Header
	// Limit bounds the answer's body in bytes, what lies beyond is not read; 0 is
	// no bound.
	Limit  int64
	Method string
	URL    string
}

// Answer is an answer that was read to its end.
type Answer struct {
	Body   []byte
	Header http.Header
	// Status is the HTTP status; 0 where no head of an answer came.
	Status int
}

// Do makes a call. Where the answer ended within its body, Do returns ErrUnknown
// and the answer's head.
func Do(ctx context.Context, client *http.Client, c Call) (Answer, error) {
	r, err := http.NewRequestWithContext(ctx, c.Method, c.URL, bytes.NewReader(c.Body))
	if err != nil {
		return Answer{}, errors.Annotate(ErrNotSent, err.Error())
	}
	if c.Header != nil {
		r.Header = c.Header
	}
	response, err := client.Do(r)
	if err != nil {
		if NotSent(err) {
			return Answer{}, errors.Annotate(ErrNotSent, err.Error())
		}
		return Answer{}, errors.Annotate(ErrUnknown, err.Error())
	}
	defer response.Body.Close()
	a := Answer{Header: response.Header, Status: response.StatusCode}
	var body io.Reader = response.Body
	if c.Limit > 0 {
		body = io.LimitReader(body, c.Limit)
	}
	if a.Body, err = io.ReadAll(body); err != nil {
		return a, errors.Annotate(ErrUnknown, err.Error())
	}
	return a, nil
}

// LeaveSilent closes the connections that a client keeps if a call got no answer before the
// deadline of its ctx. Where one connection has gone silent without a reset, those that are
// kept may have too, and the next call would hang on one of them for as long again.
func LeaveSilent(ctx context.Context, client *http.Client) {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		client.CloseIdleConnections()
	}
}

// NotSent reports whether an error of an http.Client means that no connection
// came about.
func NotSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
