package controller

import (
	"context"
	"encoding/json"
	"net"
	"testing"
	"time"

	"github.com/sourcegraph/jsonrpc2"
	"gotest.tools/v3/assert"

	"sandbarrow.example/sandbarrow/enginelink"
	"sandbarrow.example/sandbarrow/wire"
)

// What one gateway tells of the list reaches the others, not itself.
func TestRelay(t *testing.T) {
	c := newTestController(t, newFakeEngine(testSlots))
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	open := func() (*jsonrpc2.Conn, chan string) {
		near, far := net.Pipe()
		go c.serveLink(ctx, near)
		got := make(chan string, 8)
		return jsonrpc2.NewConn(ctx, wire.NewStream(far), wire.Handler(func(_ context.Context, r *jsonrpc2.Request) (any, error) {
			if r.Method == enginelink.MethodListed {
				got <- string(*r.Params)
			}
			return nil, nil
		})), got
	}
	teller, own := open()
	_, first := open()
	_, second := open()
	deadline := time.Now().Add(5 * time.Second)
	for linked := 0; linked < 3 && time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		c.mu.Lock()
		linked = len(c.links)
		c.mu.Unlock()
	}
	assert.NilError(t, teller.Notify(ctx, enginelink.MethodListed, json.RawMessage(`{"mark":7}`)))
	for _, got := range []chan string{first, second} {
		select {
		case m := <-got:
			assert.Equal(t, m, `{"mark":7}`)
		case <-time.After(5 * time.Second):
			t.Fatal("not passed on in 5 s")
		}
	}
	assert.Equal(t, len(own), 0)
}
