package agent

import (
	"context"
	"log/slog"
	"net"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sourcegraph/jsonrpc2"
	"gotest.tools/v3/assert"

	"sandbarrow.example/sandbarrow/platform"
	"sandbarrow.example/sandbarrow/settings"
	"sandbarrow.example/sandbarrow/wire"
)

// openEntryConnection opens a connection as an entry does.
func openEntryConnection(t *testing.T, a *Agent, h wire.Hello) *jsonrpc2.Conn {
	t.Helper()
	near, far := net.Pipe()
	go a.serve(t.Context(), near)
	rpc := jsonrpc2.NewConn(t.Context(), wire.NewStream(far), wire.Handler(func(context.Context, *jsonrpc2.Request) (any, error) { return nil, nil }))
	h.Protocol = wire.Protocol
	var reply wire.HelloReply
	assert.NilError(t, rpc.Call(t.Context(), wire.MethodHello, h, &reply))
	return rpc
}

// Those of an entry whose box was lost would otherwise stay open for good, with their attempts.
func TestAdditionalConnectionsEndWithFirstOne(t *testing.T) {
	s := &settings.Settings{Agent: &settings.Agent{Upstream: settings.Upstream{ID: "u", MaxRunning: 1, Slots: 1, URL: "http://127.0.0.1:1"}}}
	s.Listen.RPC, s.Platform.Store = "127.0.0.1:0", "http://127.0.0.1:1"
	a, err := New(s, platform.UpstreamNotices{}, slog.New(slog.DiscardHandler), prometheus.NewRegistry())
	assert.NilError(t, err)
	first := openEntryConnection(t, a, wire.Hello{Box: "e", Session: "1"})
	own := openEntryConnection(t, a, wire.Hello{AdditionalConnection: true, Box: "e", Session: "1"})
	others := []*jsonrpc2.Conn{
		openEntryConnection(t, a, wire.Hello{AdditionalConnection: true, Box: "e", Session: "2"}),
		openEntryConnection(t, a, wire.Hello{AdditionalConnection: true, Box: "e"}), // of a former build
	}
	assert.NilError(t, first.Close())
	select {
	case <-own.DisconnectNotify():
	case <-time.After(time.Second):
		t.Fatal("the additional connection is still open")
	}
	for _, rpc := range others {
		select {
		case <-rpc.DisconnectNotify():
			t.Fatal("a connection of another session was closed")
		case <-time.After(50 * time.Millisecond):
		}
	}
}
