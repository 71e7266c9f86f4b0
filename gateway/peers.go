package gateway

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/enginelink"
	"sandbarrow.example/sandbarrow/forward"
	"sandbarrow.example/sandbarrow/internal/pause"
	"sandbarrow.example/sandbarrow/logging"
	"sandbarrow.example/sandbarrow/wire"
)

const (
	// startupQueryPause is the pause between two rounds of queries to peers at a start.
	startupQueryPause = 200 * time.Millisecond
	// listTimeout is how long the list may stay unconfirmed before peers are queried. It is longer
	// than three reads of the list.
	listTimeout = 2500 * time.Millisecond
	// unconfirmedQueryPause is the pause between two rounds while the list is unconfirmed.
	unconfirmedQueryPause = 700 * time.Millisecond
	// eraCheckInterval is the interval between two checks for a restore of the store.
	eraCheckInterval = 200 * time.Millisecond
	// peerStagger is the time that one peer has to reply before the next one is queried too. It is
	// far above a round trip and below peerTimeout.
	peerStagger = 150 * time.Millisecond
	// peerTimeout bounds the calls to one peer.
	peerTimeout = 800 * time.Millisecond
	// A connection of a peer is closed after maxQuietPeerChecks checks without a message, peerCheckInterval
	// apart. Peers close theirs when idle for a third of that, so that one which stays is of a peer that
	// is gone.
	peerCheckInterval  = 3 * time.Second
	maxQuietPeerChecks = 10
)

// methodInstances is the JSON-RPC method that reads a peer's list of upstreams.
const methodInstances = "directory.fetch"

// ServePeers serves other gateways that start while the store can't be read, until ctx ends.
func (g *Gateway) ServePeers(ctx context.Context, listener net.Listener) error {
	return wire.Accept(ctx, listener, g.logger, g.servePeer)
}

func (g *Gateway) servePeer(ctx context.Context, conn net.Conn) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ready := make(chan struct{})
	stream := wire.NewStream(conn)
	go stream.CloseWhenQuiet(ctx, g.peerCheckInterval, maxQuietPeerChecks)
	var rpc *jsonrpc2.Conn
	rpc = jsonrpc2.NewConn(ctx, stream, wire.Handler(func(_ context.Context, r *jsonrpc2.Request) (any, error) {
		<-ready
		switch r.Method {
		case enginelink.MethodFetch:
			return enginelink.ServeFetch(rpc, r, g.estate)
		case enginelink.MethodCrashes, enginelink.MethodPartCrashes:
			return g.serveCrashes(r)
		case methodInstances:
			var known enginelink.Watermark
			if err := wire.Decode(r, &known); err != nil {
				return nil, err
			}
			return g.listReply.since(known.Revision)
		}
		if reply, changed, handled, err := g.permits.own.Handle(r); handled {
			if changed != nil {
				g.upstreams.mergeLimit(*changed)
			}
			return reply, err
		}
		if reply, handled, err := g.ownOrigins.Handle(r); handled {
			return reply, err
		}
		if reply, handled, err := g.plainPermits.own.Handle(rpc, r); handled {
			return reply, err
		}
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: r.Method}
	}), jsonrpc2.SetLogger(logging.NewPrinter(g.logger, "jsonrpc2")))
	close(ready)
	select {
	case <-rpc.DisconnectNotify():
	case <-ctx.Done():
		_ = rpc.Close()
	}
}

// syncFromPeers queries peers for the estate and the list of upstreams while they are unknown. It
// also does so once after each restore of the store, as peers may have data that the store has
// lost, and while the store has not confirmed the list for some time.
func (g *Gateway) syncFromPeers(ctx context.Context) error {
	var era sandbarrow.StoreEra
	eraKnown := false
	for ctx.Err() == nil {
		known := g.estate.View() != nil && g.directory.View() != nil
		current := g.directory.Watermark().Era()
		switch {
		case !known:
			pause.For(ctx, startupQueryPause)
		case !eraKnown:
			era, eraKnown = current, true
			continue
		case current > era:
			era = current
		case g.directory.Age() < listTimeout:
			pause.For(ctx, min(eraCheckInterval, listTimeout-g.directory.Age()))
			continue
		default:
			pause.For(ctx, unconfirmedQueryPause)
		}
		g.queryPeers(ctx)
	}
	return nil
}

// queryPeers queries the peers in random order until one has returned something new. Each gets
// peerStagger before the next one is queried too. When a hundred gateways start, only a few of them
// query the same peer, and a peer that is cut off delays no gateway for long.
func (g *Gateway) queryPeers(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan bool, len(g.config.Peers))
	pending := 0
	for _, i := range rand.Perm(len(g.config.Peers)) {
		address := g.config.Peers[i]
		pending++
		go func() {
			changed, err := g.queryPeer(ctx, address)
			if err != nil {
				g.logger.Debug("peer did not reply", "peer", address, "error", err.Error())
			}
			results <- changed
		}()
		stagger := time.NewTimer(peerStagger)
		select {
		case changed := <-results:
			pending--
			if changed {
				stagger.Stop()
				return
			}
		case <-stagger.C:
		}
		stagger.Stop()
	}
	for range pending {
		if <-results {
			return
		}
	}
}

// queryPeer applies the state of one peer, and reports whether it contained anything new.
func (g *Gateway) queryPeer(ctx context.Context, address string) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	rpc, err := enginelink.DialPeer(ctx, address, forward.DialTimeout)
	if err != nil {
		return false, err
	}
	defer rpc.Close()
	var list enginelink.Estate
	if err := rpc.Call(ctx, methodInstances, enginelink.Watermark{Revision: g.directory.Watermark()}, &list); err != nil {
		return false, err
	}
	before, _ := g.estate.Watermark()
	if err := enginelink.Fetch(ctx, rpc, g.estate); err != nil {
		return false, err
	}
	after, _ := g.estate.Watermark()
	adopted := g.directory.ApplyPeerList(list.Items, list.Watermark)
	if adopted {
		g.upstreams.cancelBlockedWaits()
		g.logger.Info("upstreams learnt from a peer", "peer", address, "upstreams", len(list.Items), "revision", list.Watermark)
	}
	return adopted || before.MayLack(after), nil
}
