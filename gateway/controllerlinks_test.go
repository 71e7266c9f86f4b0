package gateway

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/sourcegraph/jsonrpc2"
	"gotest.tools/v3/assert"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/enginelink"
	"sandbarrow.example/sandbarrow/wire"
)

// linkRecorder is the controller's end of a link. It sends statuses and records what the gateway sends.
type linkRecorder struct {
	mu    sync.Mutex
	hello enginelink.Hello
}

func (r *linkRecorder) handle(_ context.Context, q *jsonrpc2.Request) (any, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if q.Method == enginelink.MethodHello {
		return nil, json.Unmarshal(*q.Params, &r.hello)
	}
	return nil, nil
}

// serve serves a link of l until ctx ends.
func (r *linkRecorder) serve(ctx context.Context, l *controllerLink) {
	near, far := net.Pipe()
	go l.serve(ctx, near)
	rpc := jsonrpc2.NewConn(ctx, wire.NewStream(far), wire.Handler(r.handle))
	go func() {
		for ctx.Err() == nil && rpc.Notify(ctx, enginelink.MethodStatus, enginelink.Status{}) == nil {
			time.Sleep(enginelink.HeartbeatInterval / 2)
		}
	}()
}

// A controller releases the pins of older links that a new one does not report.
func TestNewLinkReportsAllPins(t *testing.T) {
	g := newChoosingGateway(t)
	l := &controllerLink{address: "a", gateway: g}
	l.addPin(&enginelink.Acquire{ID: "1"})
	var first, second linkRecorder
	for _, r := range []*linkRecorder{&first, &second} {
		ctx, cancel := context.WithCancel(t.Context())
		r.serve(ctx, l)
		eventually(t, func() bool {
			r.mu.Lock()
			defer r.mu.Unlock()
			return r.hello.Link > 0
		})
		cancel()
		eventually(t, func() bool { return l.connection() == nil || ctx.Err() != nil })
	}
	assert.DeepEqual(t, second.hello.Pins, []sandbarrow.RequestID{"1"})
	assert.Equal(t, second.hello.Incarnation, first.hello.Incarnation)
	assert.Assert(t, second.hello.Link > first.hello.Link)
}
