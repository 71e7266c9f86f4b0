package sendkeepers

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/sourcegraph/jsonrpc2"

	"sandbarrow.example/sandbarrow/enginelink"
	"sandbarrow.example/sandbarrow/internal/boottime"
)

// peerIdleTimeout is how long an idle connection to a peer is kept.
const peerIdleTimeout = 10 * time.Second

// peer is another gateway, with a connection that is opened on demand and closed when idle. It is
// safe for concurrent use.
type peer struct {
	address string

	mu       sync.Mutex
	rpc      *jsonrpc2.Conn
	lastUsed time.Time
}

// Name is the peer's address.
func (p *peer) Name() string { return p.address }

// Send requests one send from the peer. The connection is closed if no reply arrives.
func (p *peer) Send(ctx context.Context, q enginelink.Send) (grant enginelink.SendGrant, err error) {
	ctx, cancel := context.WithTimeout(ctx, SendTimeout)
	defer cancel()
	rpc, err := p.connect(ctx)
	if err != nil {
		return grant, err
	}
	if err = rpc.Call(ctx, enginelink.MethodSend, q, &grant); err != nil {
		p.drop(rpc)
	}
	return grant, errors.Trace(err)
}

// Sent reports to the peer the sends that another process has granted.
func (p *peer) Sent(s enginelink.Sent) {
	ctx, cancel := context.WithTimeout(context.Background(), SendTimeout)
	defer cancel()
	rpc, err := p.connect(ctx)
	if err != nil {
		return // the next request for a send detects an unreachable peer
	}
	if rpc.Notify(ctx, enginelink.MethodSent, s) != nil {
		p.drop(rpc)
	}
}

// connect returns the open connection, or opens a new one if there is none or the peer has closed
// it. The connection outlives ctx, which is that of one request.
func (p *peer) connect(ctx context.Context) (*jsonrpc2.Conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastUsed = boottime.Now()
	if p.rpc != nil {
		select {
		case <-p.rpc.DisconnectNotify():
		default:
			return p.rpc, nil
		}
	}
	rpc, err := enginelink.DialPeer(context.WithoutCancel(ctx), p.address, SendTimeout)
	if err != nil {
		return nil, err
	}
	p.rpc = rpc
	return rpc, nil
}

// drop closes a broken connection.
func (p *peer) drop(rpc *jsonrpc2.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = rpc.Close()
	if p.rpc == rpc {
		p.rpc = nil
	}
}

func (p *peer) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.rpc != nil {
		_ = p.rpc.Close()
		p.rpc = nil
	}
}

// closeIdle closes a connection that was not used for peerIdleTimeout.
func (p *peer) closeIdle(now time.Time) {
	p.mu.Lock()
	idle := now.Sub(p.lastUsed) >= peerIdleTimeout
	p.mu.Unlock()
	if idle {
		p.close()
	}
}

// closeSilent closes the open connection if the peer does not reply on it. Reports get no reply, so that
// those on a connection that has gone silent would be lost for as long as they keep it from being idle.
func (p *peer) closeSilent(ctx context.Context) {
	p.mu.Lock()
	rpc := p.rpc
	p.mu.Unlock()
	if rpc == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, SendTimeout)
	defer cancel()
	var refusal *jsonrpc2.Error // a peer that does not know the method replies too
	if err := rpc.Call(ctx, enginelink.MethodEcho, nil, nil); err != nil && !errors.As(err, &refusal) {
		p.drop(rpc)
	}
}
