package sandbarrow

import (
	"net/http"
	"time"
)

// RequestRate is a number of requests a second.
type RequestRate float64

// UpstreamNotice is what an upstream says of itself in the head of an answer.
type UpstreamNotice struct {
	// Backoff is for how long the upstream wants no more requests from the process that it has
	// refused one; 0 where it names no time.
	Backoff time.Duration
	// Draining says that the upstream ends soon and accepts no new requests.
	Draining bool
	// Limit is how many requests the upstream accepts from all processes together; nil where it
	// names none.
	Limit *RequestRate
}

// NoticeReader reads what upstreams announce. It may be used from several goroutines.
type NoticeReader interface {
	// Read reads the head of an answer with a status. An error names each part that is
	// malformed; the others are read all the same.
	Read(status int, h http.Header) (UpstreamNotice, error)
}

// RawNotice is an Announcement as stand-ins write it, malformed where they like; an
// empty part is left out.
type RawNotice struct {
	Backoff, Draining, Limit string
}

// NoticeWriter writes what stand-ins announce.
type NoticeWriter interface {
	// Write adds the texts to the head of an answer.
	Write(h http.Header, t RawNotice)
}
