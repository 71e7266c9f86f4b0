package sandbarrow

import (
	"net/http"
	"time"
)

// SendObserver is told of what a client of an upstream sends, and of the answers. It may be
// called from several goroutines.
type SendObserver interface {
	// ResponseReceived is told of the head of the answer to a request sent at a time.
	ResponseReceived(sent time.Time, status int, h http.Header)
	// Resumed is told of a further request for a job that the upstream is at work on.
	Resumed()
}
