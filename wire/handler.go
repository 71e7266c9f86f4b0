package wire

import (
	"context"
	"encoding/json"

	"github.com/juju/errors"
	"github.com/sourcegraph/jsonrpc2"
)

// ErrDeferredReply is returned by a Handler that sends its reply itself.
const ErrDeferredReply = errors.ConstError("wire: reply follows")

// Handler serves the messages of a connection one at a time, in order.
type Handler func(ctx context.Context, r *jsonrpc2.Request) (any, error)

// Handle serves one message and replies unless h returns ErrDeferredReply.
func (h Handler) Handle(ctx context.Context, conn *jsonrpc2.Conn, r *jsonrpc2.Request) {
	result, err := h(ctx, r)
	if r.Notif || errors.Is(err, ErrDeferredReply) {
		return
	}
	if err == nil {
		_ = conn.Reply(ctx, r.ID, result) // a disconnected peer needs no reply
		return
	}
	var e *jsonrpc2.Error
	if !errors.As(err, &e) {
		e = &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: err.Error()}
	}
	_ = conn.ReplyWithError(ctx, r.ID, e)
}

// Decode decodes the parameters of a message into v.
func Decode(r *jsonrpc2.Request, v any) error {
	if r.Params == nil {
		return &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: r.Method + ": no params"}
	}
	if err := json.Unmarshal(*r.Params, v); err != nil {
		return &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: r.Method + ": " + err.Error()}
	}
	return nil
}

// DeferReply serves a call in its own goroutine, so it does not delay later messages of the
// connection.
func DeferReply[T any](rpc *jsonrpc2.Conn, r *jsonrpc2.Request, serve func(T) any) (any, error) {
	var q T
	if err := Decode(r, &q); err != nil {
		return nil, err
	}
	go func() { _ = rpc.Reply(context.Background(), r.ID, serve(q)) }()
	return nil, ErrDeferredReply
}
