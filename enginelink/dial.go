package enginelink

import (
	"context"
	"io"
	"log"
	"net"
	"time"

	"github.com/juju/errors"
	"github.com/sourcegraph/jsonrpc2"

	"sandbarrow.example/sandbarrow/wire"
)

// DialPeer opens a connection to a peer, only for outgoing calls: incoming requests are rejected.
// Dialling takes at most timeout.
func DialPeer(ctx context.Context, address string, timeout time.Duration) (*jsonrpc2.Conn, error) {
	dialer := net.Dialer{Timeout: timeout, KeepAlive: -1}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return jsonrpc2.NewConn(ctx, wire.NewStream(conn), wire.Handler(func(_ context.Context, r *jsonrpc2.Request) (any, error) {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: r.Method}
	}), jsonrpc2.SetLogger(log.New(io.Discard, "", 0))), nil // its calls return the errors
}
