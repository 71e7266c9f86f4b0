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

// listShare is the fraction of the bound for draining upstreams (setting leave_bound) after which
// the list is read again. A list from another gateway may have this age when it arrives, so the
// total is twice this fraction and stays within the bound. If each gateway read the list itself,
// this would be a third of all calls to the store.
const listShare = 0.4

// listWatch returns the watch of the list of upstreams. The gateways share their reads: each sends
// the others what it has read, through one of the controllers. It reads the store itself only if
// nothing arrived in time.
func (g *Gateway) listWatch() *prefixwatch.Watch {
	return &prefixwatch.Watch{
		Age: g.directory.Age, Busy: true, Consumer: sharedList{g}, Expecting: g.expectsUpstreams, Logger: g.logger, Watermark: g.directory.Watermark,
		MinInterval: time.Duration(listShare * float64(g.config.DrainBound)), Prefix: g.config.Instances.Prefix(), ProcessCount: g.engines.gateways, Store: g.config.Store, Wait: prefixwatch.DefaultWait,
	}
}

// sharedList applies the list from the store, and sends changes to the other gateways.
type sharedList struct {
	gateway *Gateway
}

// Replace applies the complete list.
func (s sharedList) Replace(items []sandbarrow.KeyItem, at sandbarrow.StoreRevision) {
	s.gateway.directory.Replace(items, at)
	s.gateway.upstreams.cancelBlockedWaits()
}

// Update applies changes and sends them to the other gateways.
func (s sharedList) Update(items []sandbarrow.KeyItem, at sandbarrow.StoreRevision) {
	change := s.gateway.directory.Advance(items, at)
	s.gateway.upstreams.cancelBlockedWaits()
	if rpc := s.gateway.engines.anyRPC(); rpc != nil {
		_ = rpc.Notify(context.Background(), enginelink.MethodListed, change) // if the link is broken, the others read the list themselves
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
