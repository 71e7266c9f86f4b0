package crash

import (
	"context"
	"time"

	"sandbarrow.example/sandbarrow/internal/pause"
)

// FollowPause is the pause after what was told, so that what one end of an upstream brings goes in
// one message.
const FollowPause = 20 * time.Millisecond

// Follow tells one listener all that is known, then what changes, until ctx ends or tell
// fails. What the listener itself has told, as source, is left out.
func (l *Log) Follow(ctx context.Context, source any, tell func([]Record) error) {
	l.follow(ctx, func(after uint64) ([]Record, uint64) { return l.Since(after, source) }, tell)
}

// FollowOwn is Follow without what a single source has told: that one tells it itself. Of
// many that all listen to the same sources, each passes on what it has noted or put together.
func (l *Log) FollowOwn(ctx context.Context, tell func([]Record) error) {
	l.follow(ctx, l.own, tell)
}

func (l *Log) follow(ctx context.Context, since func(uint64) ([]Record, uint64), tell func([]Record) error) {
	told := uint64(0)
	for ctx.Err() == nil {
		changed := l.Changed()
		records, next := since(told)
		if len(records) > 0 && tell(records) != nil {
			return
		}
		told = next
		pause.For(ctx, FollowPause)
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}
