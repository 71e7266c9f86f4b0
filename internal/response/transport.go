package response

import (
	"net"
	"net/http"
)

// NewTransport makes base open its connections with d. The body of a response then ends with io.EOF only
// if it is complete.
func NewTransport(base *http.Transport, d *net.Dialer) *http.Transport {
	base.DialContext = Dialer(d)
	return base
}
