// Package upstream holds the clients of the back ends: model engines and
// plain services.
package upstream

import (
	"context"
	"io"
	"net/http"

	"github.com/juju/errors"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/internal/boottime"
	"sandbarrow.example/sandbarrow/internal/httpcall"
)

// requestIDHeader carries the request's id to the upstream.
const requestIDHeader = "X-Request-Id"

// maxErrorBytes bounds what is read of an error answer.
const maxErrorBytes = 4 << 10

// newClient returns a client that ends calls with their context. It uses
// net/http, since a cancelled run must reach the engine as a closed connection.
func newClient(maxConnections int) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DisableCompression:  true,
		MaxIdleConns:        maxConnections,
		MaxIdleConnsPerHost: maxConnections,
	}}
}

// singleUse hides a body's type, so that net/http never repeats the call by
// itself after a broken connection.
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
		req.ContentLength = -1 // an unknown length keeps the body single-use
	}
	return req, nil
}

// transportError tells a call that was never sent from one that may have run.
func transportError(err error) error {
	if httpcall.NotSent(err) {
		return errors.Annotate(sandbarrow.ErrUpstreamRefused, err.Error())
	}
	return errors.Annotate(sandbarrow.ErrUpstreamUnknown, err.Error())
}

// do makes a call and tells the observer of its answer.
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
	text, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes)) // a cut text still helps
	return string(text)
}
