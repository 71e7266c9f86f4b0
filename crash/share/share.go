// Package share carries the records of a gateway's crash.Log to other gateways, and theirs into it.
//
// An Exchange sends records through controllers, or to peers without any. A Store keeps them in the
// platform's store in case all processes exit. The package owns which changes each receiver has got,
// and the keys under StorePrefix. It relies on the gateway for the links to controllers, for their
// incoming records, and for the connections that peers open.
package share

import (
	"context"
	"time"

	"sandbarrow.example/sandbarrow/crash"
	"sandbarrow.example/sandbarrow/internal/pause"
)

// retryInterval is the interval at which failed messages are sent again and peers are queried. It is
// a third of the 3 s within which a process must act on records of others.
const retryInterval = time.Second

// onChanges calls do whenever the log has changed, and at least every retryInterval, until ctx ends.
func onChanges(ctx context.Context, log *crash.Log, do func(context.Context)) error {
	for ctx.Err() == nil {
		changed := log.Changed()
		do(ctx)
		pause.For(ctx, crash.FollowPause)
		select {
		case <-changed:
		case <-time.After(retryInterval):
		case <-ctx.Done():
		}
	}
	return nil
}
