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
	"sandbarrow.example/sandbarrow/wire"
)

const (
	// peerPause is the pause between two rounds of asking peers at a start.
	peerPause = 200 * time.Millisecond
	// listTimeout is how long the list may stay unconfirmed before peers are asked: longer
	// than three reads of the list.
	listTimeout = 2500 * time.Millisecond
	// stalePause is the pause between two rounds while the list is unconfirmed.
	stalePause = 700 * time.Millisecond
	// eraPause is the pause between two checks for a restore of the store.
	eraPause = 200 * time.Millisecond
	// peerStagger is how long one peer has before the next one is asked too: far above a round
	// trip, below peerTimeout.
	peerStagger = 150 * time.Millisecond
	// peerTimeout bounds the questions to one peer.
	peerTimeout = 800 * time.Millisecond
)

// methodInstances reads a peer's list of upstreams; a call.
const methodInstances = "directory.fetch"

// ServePeers answers other gateways that start while the store can't be read,
// until ctx ends.
func (g *Gateway) ServePeers(ctx context.Context, listener net.Listener) error {
	return enginelink.Accept(ctx, listener, g.logger, g.servePeer)
}

func (g *Gateway) servePeer(ctx context.Context, conn net.Conn) {
	ready := make(chan struct{})
	var rpc *jsonrpc2.Conn
	rpc = jsonrpc2.NewConn(ctx, wire.NewStream(conn), wire.Handler(func(_ context.Context, r *jsonrpc2.Request) (any, error) {
		<-ready
		switch r.Method {
		case enginelink.MethodFetch:
			return enginelink.ServeFetch(rpc, r, g.estate)
		case enginelink.MethodCrashes:
			return g.serveCrashes(r)
		case methodInstances:
			var known enginelink.Watermark
			if err := wire.Decode(r, &known); err != nil {
				return nil, err
			}
			return g.list.since(known.Revision)
		}
		if answer, changed, handled, err := g.permits.kept.Handle(r); handled {
			if changed != nil {
				g.upstreams.learnLimit(*changed)
			}
			return answer, err
		}
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: r.Method}
	}))
	close(ready)
	context.AfterFunc(ctx, func() { _ = rpc.Close() })
}

// learnFromPeers asks peers for the estate and the list of upstreams while they
// are not known yet, once after each restore of the store, as peers may know what it has
// lost, and while the store has not confirmed the list for some time.
func (g *Gateway) learnFromPeers(ctx context.Context) error {
	var era sandbarrow.StoreEra
	eraKnown := false
	for ctx.Err() == nil {
		known := g.estate.View() != nil && g.directory.View() != nil
		current := g.directory.Watermark().Era()
		switch {
		case !known:
			pause.For(ctx, peerPause)
		case !eraKnown:
			era, eraKnown = current, true
			continue
		case current > era:
			era = current
		case g.directory.Age() < listTimeout:
			pause.For(ctx, min(eraPause, listTimeout-g.directory.Age()))
			continue
		default:
			pause.For(ctx, stalePause)
		}
		g.askPeers(ctx)
	}
	return nil
}

// askPeers asks the peers in an order of this gateway's own until one has brought
// something new. Each gets peerStagger before the next one is asked too: of a hundred
// gateways that start, few ask the same peer, and one that is cut off holds up nobody.
func (g *Gateway) askPeers(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan bool, len(g.config.Peers))
	open := 0
	for _, i := range rand.Perm(len(g.config.Peers)) {
		address := g.config.Peers[i]
		open++
		go func() {
			learnt, err := g.askPeer(ctx, address)
			if err != nil {
				g.logger.Debug("peer did not answer", "peer", address, "error", err.Error())
			}
			answers <- learnt
		}()
		stagger := time.NewTimer(peerStagger)
		select {
		case learnt := <-answers:
			open--
			if learnt {
				stagger.Stop()
				return
			}
		case <-stagger.C:
		}
		stagger.Stop()
	}
	for range open {
		if <-answers {
			return
		}
	}
}

// askPeer applies what one peer knows, and reports whether that was new.
func (g *Gateway) askPeer(ctx context.Context, address string) (bool, error) {
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
		g.logger.Info("upstreams learnt from a peer", "peer", address, "upstreams", len(list.Items), "revision", list.Watermark)
	}
	return adopted || before.MayLack(after), nil
}
