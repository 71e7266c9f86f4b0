// Package response decides which responses of HTTP servers are valid and complete. All clients of this
// project read responses through it: of upstreams, engines, the stores and the lists. A client of package
// net/http uses Transport; one that reads from its own connections wraps them by NewConn, and checks each
// head and trailer. The package relies on net/http for the framing of bodies. It owns no state beyond its
// connections, and it neither retries nor interprets a status.
package response

import (
	"net/http"

	"github.com/juju/errors"
	"golang.org/x/net/http/httpguts"
)

// The errors of a response that must not be used.
const (
	// ErrInvalid means that a head or a trailer is not valid in HTTP/1.
	ErrInvalid = errors.ConstError("response: invalid")
	// ErrReset means that a connection was reset before its server had ended it.
	ErrReset = errors.ConstError("response: connection reset before its end")
)

const (
	// maxStatus is the highest status of HTTP.
	maxStatus = 599
	// MaxInformational bounds the informational heads before the head of a response. net/http bounds them
	// only for clients that do not look at them.
	MaxInformational = 3
)

// CheckHead decides whether the head of a response may be used. It returns an ErrInvalid if not.
//
// net/http accepts any three digits as the status, any version, and names of fields that hold blanks,
// which it keeps beside the sound ones: the length of a body is then not the one that the server
// announced. Clients of this project never ask for an upgrade of the protocol.
func CheckHead(r *http.Response) error {
	switch {
	case r.ProtoMajor != 1:
		return errors.Annotatef(ErrInvalid, "version %q", r.Proto)
	case r.StatusCode < http.StatusContinue || r.StatusCode > maxStatus:
		return errors.Annotatef(ErrInvalid, "status %q", r.Status)
	case r.StatusCode == http.StatusSwitchingProtocols:
		return errors.Annotate(ErrInvalid, "upgrade of the protocol without a request for it")
	}
	return checkFields(r.Header)
}

// checkInformational decides whether a client goes on after an informational head, the count-th one of a
// response. It returns an ErrInvalid if not.
func checkInformational(count int, h http.Header) error {
	if count > MaxInformational {
		return errors.Annotatef(ErrInvalid, "more than %d informational heads", MaxInformational)
	}
	return checkFields(h)
}

// CheckTrailer decides whether a response whose body was read may be used, by the fields after its body.
// It returns an ErrInvalid if not.
func CheckTrailer(r *http.Response) error {
	return errors.Annotate(checkFields(r.Trailer), "trailer")
}

// checkFields returns an ErrInvalid if the name or a value of a field is not valid.
func checkFields(h http.Header) error {
	for name, values := range h {
		if !httpguts.ValidHeaderFieldName(name) {
			return errors.Annotatef(ErrInvalid, "name of field %q", name)
		}
		for _, v := range values {
			if !httpguts.ValidHeaderFieldValue(v) {
				return errors.Annotatef(ErrInvalid, "value of field %q", name)
			}
		}
	}
	return nil
}

// CheckSingle returns an ErrInvalid if a head has a field more than once with different values. It is for
// fields that tell which request a response belongs to.
func CheckSingle(h http.Header, name string) error {
	values := h.Values(name)
	for _, v := range values {
		if v != values[0] {
			return errors.Annotatef(ErrInvalid, "field %q twice, %q and %q", name, values[0], v)
		}
	}
	return nil
}
