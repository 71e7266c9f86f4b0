package controller

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/sourcegraph/jsonrpc2"
	"gotest.tools/v3/assert"

	"sandbarrow.example/sandbarrow/enginelink"
)

// A list message of one gateway reaches the others but not the sender.
func TestListMessageRelayedToOtherGateways(t *testing.T) {
	c := newTestController(t, newFakeEngine(testSlots))
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	open := func() (*jsonrpc2.Conn, chan string) {
		got := make(chan string, 8)
		return openLink(ctx, c, func(r *jsonrpc2.Request) {
			if r.Method == enginelink.MethodListed {
				got <- string(*r.Params)
			}
		}), got
	}
	sender, toSender := open()
	_, first := open()
	_, second := open()
	eventually(t, func() bool { return c.linkCount() == 3 })
	assert.NilError(t, sender.Notify(ctx, enginelink.MethodListed, json.RawMessage(`{"mark":7}`)))
	for _, got := range []chan string{first, second} {
		select {
		case m := <-got:
			assert.Equal(t, m, `{"mark":7}`)
		case <-time.After(5 * time.Second):
			t.Fatal("the message was not relayed within 5 s")
		}
	}
	assert.Equal(t, len(toSender), 0)
}
