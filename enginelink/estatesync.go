package enginelink

import (
	"context"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"sandbarrow.example/sandbarrow/estate"
	"sandbarrow.example/sandbarrow/wire"
)

const (
	// WatchLead is how long the store's own watch may take to bring what a peer
	// has told of.
	WatchLead    = 300 * time.Millisecond
	fetchTimeout = 2 * time.Second
)

// TellMarks tells a peer each new mark of the estate until ctx ends.
func TellMarks(ctx context.Context, rpc *jsonrpc2.Conn, e *estate.Estate) {
	for ctx.Err() == nil {
		mark, changed := e.Mark()
		if mark > 0 {
			if err := rpc.Notify(ctx, MethodMark, Mark{Revision: mark}); err != nil {
				return
			}
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// TakeMark fetches what a peer has and this side lacks, unless the store
// brings it within lead.
func TakeMark(ctx context.Context, rpc *jsonrpc2.Conn, e *estate.Estate, m Mark, lead time.Duration) {
	mine, _ := e.Mark()
	if mine >= m.Revision {
		return
	}
	if mine > 0 && lead > 0 {
		select {
		case <-time.After(lead):
		case <-ctx.Done():
			return
		}
	}
	e.Fetching.Lock()
	defer e.Fetching.Unlock()
	if mine, _ = e.Mark(); mine >= m.Revision {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	var got Estate
	if rpc.Call(ctx, MethodFetch, Mark{Revision: mine}, &got) == nil {
		e.Update(got.Items, got.Mark)
	}
}

// ServeFetch answers a fetch.
func ServeFetch(rpc *jsonrpc2.Conn, r *jsonrpc2.Request, e *estate.Estate) (any, error) {
	return wire.Later(rpc, r, func(m Mark) any {
		items, mark := e.Since(m.Revision)
		return Estate{Items: items, Mark: mark}
	})
}
