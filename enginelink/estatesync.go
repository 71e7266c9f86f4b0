package enginelink

import (
	"context"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"sandbarrow.example/sandbarrow/estate"
	"sandbarrow.example/sandbarrow/internal/boottime"
	"sandbarrow.example/sandbarrow/wire"
)

const (
	// StoreWatchGrace is how long this process waits for its own store watch to deliver what a
	// peer has published. Without it the same change would be fetched twice.
	StoreWatchGrace = 300 * time.Millisecond
	// fetchTimeout bounds one fetch from a peer.
	fetchTimeout = 2 * time.Second
)

// PublishWatermarks sends a peer each new watermark of the operators' state until ctx ends.
func PublishWatermarks(ctx context.Context, rpc *jsonrpc2.Conn, e *estate.Estate) {
	for ctx.Err() == nil {
		watermark, changed := e.Watermark()
		if watermark.Revision > 0 {
			if err := rpc.Notify(ctx, MethodWatermark, watermark); err != nil {
				return
			}
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// FollowWatermark fetches the state that a peer has published and this side lacks, unless
// the store delivers it within grace.
func FollowWatermark(ctx context.Context, rpc *jsonrpc2.Conn, e *estate.Estate, published Watermark, grace time.Duration) {
	local, _ := e.Watermark()
	if !local.MayLack(published) {
		return
	}
	if local.Revision > 0 && grace > 0 {
		select {
		case <-time.After(grace):
		case <-ctx.Done():
			return
		}
	}
	e.Fetching.Lock()
	defer e.Fetching.Unlock()
	if local, _ = e.Watermark(); !local.MayLack(published) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	_ = Fetch(ctx, rpc, e) // after a failed fetch another peer, or this peer's next watermark, triggers a new one
}

// Fetch requests from a peer the part of the operators' state that this side lacks. The
// reply also says how long ago the peer's state was confirmed as the newest.
func Fetch(ctx context.Context, rpc *jsonrpc2.Conn, e *estate.Estate) error {
	local, _ := e.Watermark()
	requestedAt := boottime.Now()
	var reply Estate
	if err := rpc.Call(ctx, MethodFetch, local, &reply); err != nil {
		return err
	}
	e.ApplyPeerChange(reply.Items, Watermark{Earlier: reply.Earlier, Revision: reply.Watermark})
	if reply.AgeMS != nil {
		e.Confirm(requestedAt.Add(-time.Duration(*reply.AgeMS)*time.Millisecond), reply.Table)
	}
	return nil
}

// ServeFetch replies to a fetch.
func ServeFetch(rpc *jsonrpc2.Conn, r *jsonrpc2.Request, e *estate.Estate) (any, error) {
	return wire.DeferReply(rpc, r, func(known Watermark) any {
		confirmed, table := e.Confirmed() // read before the items, which may then be newer but not older
		items, watermark := e.Since(known)
		return Estate{AgeMS: ageMS(confirmed), Earlier: watermark.Earlier, Items: items, Watermark: watermark.Revision, Table: table}
	})
}

// ageMS returns how many milliseconds ago a time was, rounded up. It is nil for the zero time.
func ageMS(t time.Time) *int64 {
	if t.IsZero() {
		return nil
	}
	ms := boottime.Since(t).Milliseconds() + 1
	return &ms
}
