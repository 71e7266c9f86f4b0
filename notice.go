package sandbarrow

import (
	"net/http"
	"time"
)

// RequestRate is a number of requests a second.
type RequestRate float64

// UpstreamNotice is what an upstream reports about itself in a response header.
type UpstreamNotice struct {
	// Backoff is how long the process whose request was refused must wait before it sends the
	// upstream more requests. It is 0 if the response names no time.
	Backoff time.Duration
	// Draining reports that the upstream will exit soon and accepts no new requests.
	Draining bool
	// Limit is the request rate that the upstream accepts from all processes together. It is nil
	// if the response names none.
	Limit *RequestRate
}

// NoticeReader parses the notices of upstreams. It is safe for concurrent use.
type NoticeReader interface {
	// Read parses the header of a response with the given status. Malformed fields are named
	// in the error; the other fields are still parsed.
	Read(status int, h http.Header) (UpstreamNotice, error)
}

// RawNotice holds the header values of an UpstreamNotice as text. Stand-ins use it, also to send
// malformed values. An empty value is left out.
type RawNotice struct {
	Backoff, Draining, Limit string
}

// NoticeWriter writes the notices of stand-ins.
type NoticeWriter interface {
	// Write adds the values to a response header.
	Write(h http.Header, n RawNotice)
}
