package response

import (
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"

	"github.com/juju/errors"
)

// Transport makes requests with a transport of net/http and returns valid responses only. The body of a
// response ends with io.EOF only if it is complete.
type Transport struct {
	base *http.Transport
}

// NewTransport returns a Transport that uses base, and makes base open its connections with d.
func NewTransport(base *http.Transport, d *net.Dialer) *Transport {
	base.DialContext = Dialer(d)
	return &Transport{base: base}
}

// CloseIdleConnections closes the idle connections.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }

// RoundTrip makes a request. A response that is not valid is an error, after which the request may have
// been served.
func (t *Transport) RoundTrip(q *http.Request) (*http.Response, error) {
	informational := 0
	trace := &httptrace.ClientTrace{Got1xxResponse: func(_ int, h textproto.MIMEHeader) error {
		informational++
		return checkInformational(informational, http.Header(h))
	}}
	r, err := t.base.RoundTrip(q.WithContext(httptrace.WithClientTrace(q.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if err := CheckHead(r); err != nil {
		_ = r.Body.Close()
		t.base.CloseIdleConnections() // the connection of a response without a body is idle already
		return nil, err
	}
	GuardBody(r)
	return r, nil
}

// GuardBody makes the body of a response end with an ErrInvalid if what follows it is not valid.
func GuardBody(r *http.Response) {
	r.Body = &body{ReadCloser: r.Body, response: r}
}

// body is the body of a response.
type body struct {
	io.ReadCloser
	response *http.Response
}

// Read reads into p. It returns an ErrInvalid instead of io.EOF if what follows the body is not valid.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		if invalid := CheckTrailer(b.response); invalid != nil {
			return n, errors.Trace(invalid)
		}
	}
	return n, err
}
