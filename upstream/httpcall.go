// Package upstream implements clients for upstreams: model engines and plain services.
package upstream

import (
	"context"
	"io"
	"net"
	"net/http"

	"github.com/juju/errors"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/internal/boottime"
	"sandbarrow.example/sandbarrow/internal/httpcall"
	"sandbarrow.example/sandbarrow/internal/response"
)

// requestIDHeader sends the request's ID to the upstream.
const requestIDHeader = "X-Request-Id"

const (
	// maxErrorBytes bounds the bytes read from an error response.
	maxErrorBytes = 4 << 10
	// maxResponseBytes bounds a complete response. An agent sends it on as one message.
	maxResponseBytes = 8 << 20
)

// newClient returns a client that closes a call's connection when its context is canceled. This
// is how the engine detects a canceled run, and the reason for using net/http.
func newClient(maxConnections int) *http.Client {
	return &http.Client{Transport: response.NewTransport(&http.Transport{
		DisableCompression:     true,
		MaxIdleConns:           maxConnections,
		MaxIdleConnsPerHost:    maxConnections,
		MaxResponseHeaderBytes: httpcall.MaxHeaderBytes,
	}, &net.Dialer{})}
}

// singleUse hides a body's type. net/http can't rewind such a body and therefore never retries the
// call by itself after a broken connection.
type singleUse struct{ io.Reader }

// Close does nothing.
func (singleUse) Close() error { return nil }

func newRequest(ctx context.Context, method, url string, body io.Reader, length int) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, singleUse{body})
	if err != nil {
		return nil, errors.Annotate(sandbarrow.ErrUpstreamRefused, err.Error())
	}
	req.ContentLength = int64(length)
	if length == 0 {
		req.ContentLength = -1 // with an unknown length, the body stays single-use
	}
	return req, nil
}

// transportError distinguishes a call that was never sent from one that may have run.
func transportError(err error) error {
	if httpcall.NotSent(err) {
		return errors.Annotate(sandbarrow.ErrUpstreamRefused, err.Error())
	}
	return errors.Annotate(sandbarrow.ErrUpstreamUnknown, err.Error())
}

// do makes a call and reports the response to the observer.
func do(client *http.Client, req *http.Request, o sandbarrow.SendObserver) (*http.Response, error) {
	sent := boottime.Now()
	resp, err := client.Do(req)
	if err != nil {
		return nil, err
	}
	o.ResponseReceived(sent, resp.StatusCode, resp.Header)
	return resp, nil
}

func readError(resp *http.Response) string {
	text, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes)) // a truncated text is still useful
	return string(text)
}
