package gateway

import (
	"net"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sandbarrow.example/sandbarrow/enginelink"
	"sandbarrow.example/sandbarrow/forward"
)

func TestClosedPeerConnectionsLeaveNothingBehind(t *testing.T) {
	g := newLoneGateway()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() { _ = g.ServePeers(t.Context(), l) }()
	memory := func() uint64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	connect := func(n int) {
		for range n {
			rpc, err := enginelink.DialPeer(t.Context(), l.Addr().String(), forward.DialTimeout)
			assert.NilError(t, err)
			assert.NilError(t, rpc.Close())
		}
	}
	connect(200)
	before, goroutines := memory(), runtime.NumGoroutine()
	connect(2000)
	eventually(t, func() bool { return runtime.NumGoroutine() <= goroutines+20 })
	eventually(t, func() bool { return memory() < before+2<<20 })
}

// The connection of a peer whose box was lost would otherwise stay open for good.
func TestConnectionOfLostPeerIsClosed(t *testing.T) {
	g := newLoneGateway()
	g.peerCheckInterval = 10 * time.Millisecond
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() { _ = g.ServePeers(t.Context(), l) }()
	rpc, err := enginelink.DialPeer(t.Context(), l.Addr().String(), forward.DialTimeout)
	assert.NilError(t, err)
	select {
	case <-rpc.DisconnectNotify():
	case <-time.After(5 * time.Second):
		t.Fatal("the connection is still open")
	}
}
