// Package httpcall makes single HTTP calls to the outside systems: the stores, the list of boxes and
// the orders to engines. It builds and sends the request and reads the complete response. Its errors
// distinguish a call that was never sent from one that may have taken effect. It does not interpret
// the status or retry; callers convert its errors into their own. The context cancels a call in
// flight.
package httpcall

import (
	"bytes"
	"context"
	"net"
	"net/http"

	"github.com/juju/errors"

	"sandbarrow.example/sandbarrow/internal/readbudget"
)

// The errors of a call.
const (
	// ErrNotSent means that no connection was established, so the call had no effect.
	ErrNotSent = errors.ConstError("httpcall: not sent")
	// ErrUnknown means that the call may have taken effect.
	ErrUnknown = errors.ConstError("httpcall: outcome unknown")
)

// ErrTooLarge is an ErrUnknown: the response exceeds the call's limit.
const ErrTooLarge = errors.ConstError("httpcall: response too large")

// MaxHeaderBytes bounds the header of a response. Clients set it in their transport.
const MaxHeaderBytes = 32 << 10

// Call describes one call.
type Call struct {
	// Body is sent unchanged. If it is empty, the request has no body.
	Body []byte
	// Header holds the request's headers; it may be nil.
	Header http.Header
	// Limit is the maximum size of the response body, in bytes. Beyond it the call fails with
	// ErrTooLarge.
	Limit  int64
	Method string
	URL    string
}

// Response is a response that was read to its end.
type Response struct {
	Body   []byte
	Header http.Header
	// Status is the HTTP status; 0 if no response header arrived.
	Status int
}

// Do makes a call. If the response broke off within its body or exceeds the limit, Do returns ErrUnknown
// and the response header.
func Do(ctx context.Context, client *http.Client, c Call) (Response, error) {
	r, err := http.NewRequestWithContext(ctx, c.Method, c.URL, bytes.NewReader(c.Body))
	if err != nil {
		return Response{}, errors.Annotate(ErrNotSent, err.Error())
	}
	if c.Header != nil {
		r.Header = c.Header
	}
	response, err := client.Do(r)
	if err != nil {
		if NotSent(err) {
			return Response{}, errors.Annotate(ErrNotSent, err.Error())
		}
		return Response{}, errors.Annotate(ErrUnknown, err.Error())
	}
	defer response.Body.Close()
	a := Response{Header: response.Header, Status: response.StatusCode}
	a.Body, err = readbudget.ReadAll(response.Body, c.Limit)
	switch {
	case errors.Is(err, readbudget.ErrTooLarge):
		return a, errors.WithType(errors.Annotate(ErrUnknown, err.Error()), ErrTooLarge)
	case err != nil:
		return a, errors.Annotate(ErrUnknown, err.Error())
	}
	return a, nil
}

// CloseHungConnections closes the client's idle connections if a call got no response before the
// deadline of its ctx. If one connection hangs without a reset, the idle ones may hang as well. The
// next call would then wait on one of them for as long again.
func CloseHungConnections(ctx context.Context, client *http.Client) {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		client.CloseIdleConnections()
	}
}

// NotSent reports whether an error of an http.Client means that no connection was established.
func NotSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
