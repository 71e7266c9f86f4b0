package crash

import (
	"context"
	"time"

	"sandbarrow.example/sandbarrow/internal/pause"
)

// FollowPause is the pause after each update. All changes that one crash causes then go in one
// message.
const FollowPause = 20 * time.Millisecond

// Follow sends one receiver all records, then each change, until ctx ends or send fails.
// Entries that came from the receiver alone, as source, are left out.
func (l *Log) Follow(ctx context.Context, source any, send func([]Record) error) {
	l.follow(ctx, func(after uint64) ([]Record, uint64) { return l.Since(after, source) }, send)
}

// FollowOwn is Follow without the entries that came from a single source. That source sends
// them itself. Among processes that all receive from the same sources, each sends the entries
// that it has recorded, or merged from several sources.
func (l *Log) FollowOwn(ctx context.Context, send func([]Record) error) {
	l.follow(ctx, l.ownSince, send)
}

func (l *Log) follow(ctx context.Context, since func(uint64) ([]Record, uint64), send func([]Record) error) {
	sent := uint64(0)
	for ctx.Err() == nil {
		changed := l.Changed()
		records, next := since(sent)
		if len(records) > 0 && send(records) != nil {
			return
		}
		sent = next
		pause.For(ctx, FollowPause)
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}
