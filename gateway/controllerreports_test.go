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
	mu         sync.Mutex
	hello      enginelink.Hello
	heartbeats int
	// pins are those that the gateway has reported and not unpinned since, reported counts the reports.
	pins     map[sandbarrow.RequestID]bool
	reported int
}

func (r *linkRecorder) handle(_ context.Context, q *jsonrpc2.Request) (any, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch q.Method {
	case enginelink.MethodHello:
		return nil, json.Unmarshal(*q.Params, &r.hello)
	case enginelink.MethodHeartbeat:
		r.heartbeats++
	case enginelink.MethodPinned, enginelink.MethodUnpin:
		var p enginelink.Pin
		if err := json.Unmarshal(*q.Params, &p); err != nil {
			return nil, err
		}
		if r.pins == nil {
			r.pins = map[sandbarrow.RequestID]bool{}
		}
		delete(r.pins, p.ID)
		if q.Method == enginelink.MethodPinned {
			r.pins[p.ID] = true
			r.reported++
		}
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

// Without heartbeats a controller can't tell an idle gateway from one that is gone.
func TestIdleGatewaySendsHeartbeats(t *testing.T) {
	g := newChoosingGateway(t)
	l := &controllerLink{address: "a", gateway: g}
	var r linkRecorder
	r.serve(t.Context(), l)
	eventually(t, func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.heartbeats >= 2
	})
	r.mu.Lock()
	defer r.mu.Unlock()
	assert.Assert(t, r.hello.Incarnation != "")
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

// An unpin may go to the controller before the report of its pin on a new link, which would then stay.
func TestPinThatEndedAsLinkOpenedIsUnpinned(t *testing.T) {
	l := &controllerLink{address: "a", gateway: newChoosingGateway(t)}
	running, ended := &enginelink.Acquire{ID: "1"}, &enginelink.Acquire{ID: "2"}
	l.addPin(running)
	near, far := net.Pipe()
	var r linkRecorder
	jsonrpc2.NewConn(t.Context(), wire.NewStream(far), wire.Handler(r.handle))
	rpc := jsonrpc2.NewConn(t.Context(), wire.NewStream(near), wire.Handler(r.handle))
	assert.NilError(t, rpc.Notify(t.Context(), enginelink.MethodUnpin, enginelink.Pin{ID: ended.ID}))
	assert.NilError(t, l.reportPins(t.Context(), rpc, []*enginelink.Acquire{ended, running}))
	eventually(t, func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.reported == 2 && r.pins[running.ID]
	})
	r.mu.Lock()
	defer r.mu.Unlock()
	assert.DeepEqual(t, r.pins, map[sandbarrow.RequestID]bool{running.ID: true})
}

func TestHeartbeatDueAfterQuietInterval(t *testing.T) {
	assert.Assert(t, !heartbeatDue(0))
	assert.Assert(t, !heartbeatDue(1))
	assert.Assert(t, heartbeatDue(2))
}
