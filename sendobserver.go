package sandbarrow

import "time"

// SendObserver is told of what a client of an upstream sends, and of the answers. It may be
// called from several goroutines.
type SendObserver interface {
	// Answered is told of the answer to a request sent at a time: its status, and the limit on
	// requests a second that it names; "" where it names none.
	Answered(sent time.Time, status int, limit string)
	// Resumed is told of a further request for a job that the upstream is at work on.
	Resumed()
}
