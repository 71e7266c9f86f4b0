package wire

import (
	"context"
	"time"
)

// Quiet counts for how many checks in a row a counter of messages has not changed. The checks are made
// at an interval, by a process that runs: a process that was suspended makes none meanwhile, and reads
// what has arrived since before many more follow. So its own suspension is not taken for the silence
// of its peers.
type Quiet struct {
	checks  int
	counted uint64
}

// Check records the messages so far and returns for how many checks in a row there was no further one.
func (q *Quiet) Check(messages uint64) int {
	if messages != q.counted {
		q.checks, q.counted = 0, messages
		return 0
	}
	q.checks++
	return q.checks
}

// CloseWhenQuiet closes the stream after so many checks, an interval apart, between which no message has
// arrived. It returns then, or once ctx ends, and reports whether it has closed the stream.
func (s *Stream) CloseWhenQuiet(ctx context.Context, interval time.Duration, checks int) bool {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	var quiet Quiet
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return false
		}
		if quiet.Check(s.Received()) >= checks {
			_ = s.Close()
			return true
		}
	}
}
