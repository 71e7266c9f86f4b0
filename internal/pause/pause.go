// Package pause waits for a duration or until a context is done.
package pause

import (
	"context"
	"time"
)

// For waits until d has passed or ctx is done, whichever comes first.
func For(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
