package gateway

import (
	"context"
	"net"
	"time"

	"github.com/sourcegraph/jsonrpc2"
	"golang.org/x/sync/errgroup"

	"sandbarrow.example/sandbarrow/enginelink"
	"sandbarrow.example/sandbarrow/forward"
	"sandbarrow.example/sandbarrow/internal/pause"
	"sandbarrow.example/sandbarrow/wire"
)

const (
	// peerPause is the pause between two rounds of asking peers at a start. Estimate, not
	// measured.
	peerPause = 200 * time.Millisecond
	// listTimeout is how long the list may stay unconfirmed before peers are asked: longer
	// than three reads of the list.
	listTimeout = 2500 * time.Millisecond
	// stalePause is the pause between two rounds while the list is unconfirmed.
	// Estimate, not measured.
	stalePause = 700 * time.Millisecond
	// peerTimeout bounds the questions to one peer. Estimate, not measured.
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
		case methodInstances:
			items, at := g.directory.Items()
			return enginelink.Estate{Items: items, Mark: at}, nil
		}
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: r.Method}
	}))
	close(ready)
	context.AfterFunc(ctx, func() { _ = rpc.Close() })
}

// learnFromPeers asks peers for the estate and the list of upstreams while they
// are not known yet, or the store has not confirmed the list for some time.
func (g *Gateway) learnFromPeers(ctx context.Context) error {
	for ctx.Err() == nil {
		known := g.estate.View() != nil && g.directory.View() != nil
		switch {
		case !known:
			pause.For(ctx, peerPause)
		case g.directory.Age() < listTimeout:
			pause.For(ctx, listTimeout-g.directory.Age())
			continue
		default:
			pause.For(ctx, stalePause)
		}
		var group errgroup.Group
		for _, address := range g.config.Peers {
			group.Go(func() error {
				if err := g.askPeer(ctx, address); err != nil {
					g.logger.Debug("peer did not answer", "peer", address, "error", err.Error())
				}
				return nil
			})
		}
		_ = group.Wait() // no error: a peer that does not answer is logged above
	}
	return nil
}

// askPeer applies what one peer knows.
func (g *Gateway) askPeer(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	dialer := net.Dialer{Timeout: forward.DialTimeout, KeepAlive: -1}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	rpc := jsonrpc2.NewConn(ctx, wire.NewStream(conn), wire.Handler(func(_ context.Context, r *jsonrpc2.Request) (any, error) {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: r.Method}
	}))
	defer rpc.Close()
	var list enginelink.Estate
	if err := rpc.Call(ctx, methodInstances, enginelink.Mark{}, &list); err != nil {
		return err
	}
	mark, _ := g.estate.Mark()
	var estate enginelink.Estate
	if err := rpc.Call(ctx, enginelink.MethodFetch, enginelink.Mark{Revision: mark}, &estate); err != nil {
		return err
	}
	g.estate.Update(estate.Items, estate.Mark)
	if g.directory.Adopt(list.Items, list.Mark) {
		g.logger.Info("upstreams learnt from a peer", "peer", address, "upstreams", len(list.Items), "revision", uint64(list.Mark))
	}
	return nil
}
