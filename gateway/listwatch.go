package gateway

import (
	"context"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/enginelink"
	"sandbarrow.example/sandbarrow/prefixwatch"
)

const (
	// listWait bounds the watch of the list of upstreams, whose heartbeats change
	// it all the time.
	listWait = 3 * time.Second
	// listShare is the part of the bound for leaving upstreams after which the
	// list is read anew. What another gateway has read may be as old when it
	// arrives: twice this part stays within the bound.
	listShare = 0.4
)

// listWatch is the watch of the list of upstreams. The gateways share it: each
// tells the others what it has read, through one of the controllers, and reads
// only what it was not told of in time.
func (g *Gateway) listWatch() *prefixwatch.Watch {
	return &prefixwatch.Watch{
		Age: g.directory.Age, Consumer: sharedList{g}, Hurry: g.awaitsUpstreams, Logger: g.logger, Mark: g.directory.Mark,
		Pace: time.Duration(listShare * float64(g.config.LeaveBound)), Prefix: g.config.Instances.Prefix(), Store: g.config.Store, Wait: listWait,
	}
}

// sharedList takes the list from the store and tells other gateways of it.
type sharedList struct {
	gateway *Gateway
}

// Replace takes the whole list.
func (s sharedList) Replace(items []sandbarrow.KeyItem, at sandbarrow.StoreRevision) {
	s.gateway.directory.Replace(items, at)
}

// Update takes changes and tells the other gateways.
func (s sharedList) Update(items []sandbarrow.KeyItem, at sandbarrow.StoreRevision) {
	change := s.gateway.directory.Advance(items, at)
	if rpc := s.gateway.engines.anyRPC(); rpc != nil {
		_ = rpc.Notify(context.Background(), enginelink.MethodListed, change) // others read the list themselves then
	}
}

// anyRPC returns the connection to any controller that was heard of lately, or nil.
func (e *engines) anyRPC() *jsonrpc2.Conn {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, l := range e.links {
		if l.up(now) {
			return l.connection()
		}
	}
	return nil
}
