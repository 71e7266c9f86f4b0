package gateway

import (
	"context"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/enginelink"
	"sandbarrow.example/sandbarrow/internal/boottime"
	"sandbarrow.example/sandbarrow/prefixwatch"
)

// listShare is the part of the bound for draining upstreams (setting leave_bound) after
// which the list is read again. What another gateway has read may be as old when it
// arrives: twice this part stays within the bound. Were each gateway to read the list itself,
// that would be a third of all calls to the store.
const listShare = 0.4

// listWatch is the watch of the list of upstreams. The gateways share it: each
// sends the others what it has read, through one of the controllers, and reads
// only where nothing arrived in time.
func (g *Gateway) listWatch() *prefixwatch.Watch {
	return &prefixwatch.Watch{
		Age: g.directory.Age, Busy: true, Consumer: sharedList{g}, Expecting: g.awaitsUpstreams, Logger: g.logger, Watermark: g.directory.Watermark,
		MinInterval: time.Duration(listShare * float64(g.config.LeaveBound)), Prefix: g.config.Instances.Prefix(), ProcessCount: g.engines.gateways, Store: g.config.Store, Wait: prefixwatch.DefaultWait,
	}
}

// sharedList applies the list that the store sends, and sends the changes to the
// other gateways.
type sharedList struct {
	gateway *Gateway
}

// Replace applies the whole list.
func (s sharedList) Replace(items []sandbarrow.KeyItem, at sandbarrow.StoreRevision) {
	s.gateway.directory.Replace(items, at)
}

// Update applies changes and sends them to the other gateways.
func (s sharedList) Update(items []sandbarrow.KeyItem, at sandbarrow.StoreRevision) {
	change := s.gateway.directory.Advance(items, at)
	if rpc := s.gateway.engines.anyRPC(); rpc != nil {
		_ = rpc.Notify(context.Background(), enginelink.MethodListed, change) // on a broken link the others read the list themselves
	}
}

// anyRPC returns the connection of any link that is up, or nil.
func (e *engines) anyRPC() *jsonrpc2.Conn {
	now := boottime.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, l := range e.links {
		if l.up(now) {
			return l.connection()
		}
	}
	return nil
}
