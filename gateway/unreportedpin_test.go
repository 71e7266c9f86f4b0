package gateway

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/sourcegraph/jsonrpc2"
	"gotest.tools/v3/assert"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/enginelink"
	"sandbarrow.example/sandbarrow/internal/boottime"
	"sandbarrow.example/sandbarrow/wire"
)

// testController is the far end of a link, which sends no status by itself.
type testController struct {
	link *controllerLink
	rpc  *jsonrpc2.Conn
	// methods gets the method of each message.
	methods chan string
}

func linkedTo(t *testing.T, l *controllerLink) *testController {
	t.Helper()
	near, far := net.Pipe()
	c := &testController{link: l, methods: make(chan string, 100)}
	c.rpc = jsonrpc2.NewConn(t.Context(), wire.NewStream(far), wire.Handler(func(_ context.Context, r *jsonrpc2.Request) (any, error) {
		c.methods <- r.Method
		return nil, nil
	}))
	go l.serve(t.Context(), near)
	c.expect(t, enginelink.MethodHello)
	return c
}

func (c *testController) expect(t *testing.T, method string) {
	t.Helper()
	for end := time.After(700 * time.Millisecond); ; {
		select {
		case got := <-c.methods:
			if got == method {
				return
			}
		case <-end:
			t.Fatalf("no message %q within 0.7 s while the link is up", method)
		}
	}
}

// send takes the adapter without the controller, as a request does while its link is not
// usable.
func (c *testController) send(t *testing.T) *call {
	t.Helper()
	q := callFor(c.link.gateway, "a", 100)
	q.id, q.ends = "1", q.began.Add(time.Second)
	e := &candidate{instance: &sandbarrow.Instance{ID: "e0"}, link: c.link, linkView: c.link.view(boottime.Now(), q)}
	assert.Assert(t, !e.linked)
	_, granted := q.acquire(t.Context(), e, 100*time.Millisecond)
	assert.Assert(t, granted)
	return q
}

func TestPinBeforeTheFirstStatusIsReported(t *testing.T) {
	l := &controllerLink{gateway: newChoosingGateway(t)}
	l.applyStatus(statusWithWeights(oldWeights)) // of the last connection
	c := linkedTo(t, l)
	c.send(t)
	assert.NilError(t, c.rpc.Notify(t.Context(), enginelink.MethodStatus, statusWithWeights(oldWeights)))
	c.expect(t, enginelink.MethodPinned)
}

func TestPinDuringASilenceIsReported(t *testing.T) {
	l := &controllerLink{gateway: newChoosingGateway(t)}
	c := linkedTo(t, l)
	assert.NilError(t, c.rpc.Notify(t.Context(), enginelink.MethodStatus, statusWithWeights(oldWeights)))
	eventually(t, func() bool { return l.view(boottime.Now(), callFor(l.gateway, "a", 1)).linked })
	l.mu.Lock()
	l.lastContact = boottime.Now().Add(-enginelink.HeartbeatTimeout) // the last status is old, the connection still there
	l.mu.Unlock()
	c.send(t)
	assert.NilError(t, c.rpc.Notify(t.Context(), enginelink.MethodStatus, statusWithWeights(oldWeights)))
	c.expect(t, enginelink.MethodPinned)
}
