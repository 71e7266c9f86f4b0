package sandbarrow

import (
	"net/http"
	"time"
)

// SendObserver observes the requests that a client sends to an upstream, and the responses. It is
// safe for concurrent use.
type SendObserver interface {
	// ResponseReceived is called with the response header for a request that was sent at the given
	// time.
	ResponseReceived(sent time.Time, status int, h http.Header)
	// Resumed is called for each further request for a job that the upstream is already running.
	Resumed()
}
