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
	// StoreWatchGrace is how long the store's own watch may take to bring what a peer has announced, so
	// that it is not fetched twice.
	StoreWatchGrace = 300 * time.Millisecond
	// fetchTimeout bounds one fetch from a peer.
	fetchTimeout = 2 * time.Second
)

// PublishWatermarks sends a peer each new mark of the operators' state until ctx ends.
func PublishWatermarks(ctx context.Context, rpc *jsonrpc2.Conn, e *estate.Estate) {
	for ctx.Err() == nil {
		mark, changed := e.Watermark()
		if mark.Revision > 0 {
			if err := rpc.Notify(ctx, MethodWatermark, mark); err != nil {
				return
			}
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// FollowWatermark fetches what a peer has announced and this side lacks, unless the
// store brings it within lead.
func FollowWatermark(ctx context.Context, rpc *jsonrpc2.Conn, e *estate.Estate, m Watermark, lead time.Duration) {
	mine, _ := e.Watermark()
	if !mine.MayLack(m) {
		return
	}
	if mine.Revision > 0 && lead > 0 {
		select {
		case <-time.After(lead):
		case <-ctx.Done():
			return
		}
	}
	e.Fetching.Lock()
	defer e.Fetching.Unlock()
	if mine, _ = e.Watermark(); !mine.MayLack(m) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	_ = Fetch(ctx, rpc, e) // a peer whose link broke: another one, or its next mark, brings it
}

// Fetch asks a peer for what this side lacks of the operators' state, and for how long ago
// the peer's state was the newest.
func Fetch(ctx context.Context, rpc *jsonrpc2.Conn, e *estate.Estate) error {
	mine, _ := e.Watermark()
	asked := boottime.Now()
	var got Estate
	if err := rpc.Call(ctx, MethodFetch, mine, &got); err != nil {
		return err
	}
	e.ApplyPeerChange(got.Items, Watermark{Earlier: got.Earlier, Revision: got.Watermark})
	if got.AgeMS != nil {
		e.Confirm(asked.Add(-time.Duration(*got.AgeMS)*time.Millisecond), got.Table)
	}
	return nil
}

// ServeFetch answers a fetch.
func ServeFetch(rpc *jsonrpc2.Conn, r *jsonrpc2.Request, e *estate.Estate) (any, error) {
	return wire.Later(rpc, r, func(m Watermark) any {
		confirmed, table := e.Confirmed() // before the items, which may be newer
		items, mark := e.Since(m)
		return Estate{AgeMS: ageMS(confirmed), Earlier: mark.Earlier, Items: items, Watermark: mark.Revision, Table: table}
	})
}

// ageMS is how long ago a time was, rounded up; nil for the zero time.
func ageMS(at time.Time) *int64 {
	if at.IsZero() {
		return nil
	}
	ms := boottime.Since(at).Milliseconds() + 1
	return &ms
}
