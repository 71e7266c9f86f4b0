package sendkeepers

import (
	"context"
	"net"
	"sync/atomic"
	"testing"

	"github.com/sourcegraph/jsonrpc2"
	"gotest.tools/v3/assert"

	"sandbarrow.example/sandbarrow/enginelink"
	"sandbarrow.example/sandbarrow/wire"
)

// servePeer serves a gateway's peers. It returns its address and the number of connections so far.
func servePeer(t *testing.T, keeper *enginelink.OriginKeeper) (string, *atomic.Int64) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	var connections atomic.Int64
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			connections.Add(1)
			jsonrpc2.NewConn(t.Context(), wire.NewStream(conn), wire.Handler(func(_ context.Context, r *jsonrpc2.Request) (any, error) {
				reply, _, err := keeper.Handle(r)
				return reply, err
			}))
		}
	}()
	return l.Addr().String(), &connections
}

func TestPeerIsAskedManyTimesOverOneConnection(t *testing.T) {
	var keeper enginelink.OriginKeeper
	address, connections := servePeer(t, &keeper)
	p := &peer{address: address}
	defer p.close()
	for i := range 200 {
		ctx, cancel := context.WithTimeout(t.Context(), findTimeout)
		_, err := p.FindStream(ctx, enginelink.FindStream{ID: "r"})
		cancel()
		assert.Check(t, err, "question %d", i)
		assert.Check(t, p.StreamBegan(began(i)), "report %d", i)
	}
	assert.Equal(t, connections.Load(), int64(1))
}

// Reports on a silent connection are lost, and they keep it from being closed as idle.
func TestSilentConnectionToPeerIsClosed(t *testing.T) {
	var keeper enginelink.OriginKeeper
	sound, _ := servePeer(t, &keeper)
	l, err := net.Listen("tcp", "127.0.0.1:0") // accepts connections and reads nothing
	assert.NilError(t, err)
	defer l.Close()
	for address, stays := range map[string]bool{sound: true, l.Addr().String(): false} {
		p := &peer{address: address}
		p.closeSilent(t.Context()) // not connected
		assert.NilError(t, p.StreamBegan(began(1)))
		p.closeSilent(t.Context())
		assert.Equal(t, p.rpc != nil, stays)
		p.close()
	}
}
