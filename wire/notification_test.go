package wire

import (
	"context"
	"encoding/json"
	"net"
	"testing"

	"github.com/juju/errors"
	"github.com/sourcegraph/jsonrpc2"
	"gotest.tools/v3/assert"
)

// connectedStreams returns two connected streams.
func connectedStreams(t testing.TB) (a, b *Stream) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	dialled, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	accepted, err := listener.Accept()
	assert.NilError(t, err)
	a, b = NewStream(dialled), NewStream(accepted)
	t.Cleanup(func() {
		_ = a.Close()
		_ = b.Close()
	})
	return a, b
}

type numbered struct {
	N int `json:"n"`
}

func TestNotificationMatchesLibraryEncoding(t *testing.T) {
	params := json.RawMessage(`{"n":7}`)
	r := &jsonrpc2.Request{Method: "engine.status", Notif: true, Params: &params}
	want, err := r.MarshalJSON()
	assert.NilError(t, err)
	assert.Equal(t, string(NewNotification("engine.status", params)), string(want))
}

func TestServeDirectlyKeepsMessageOrder(t *testing.T) {
	a, b := connectedStreams(t)
	got := make(chan int, 10)
	b.ServeDirectly("direct", func(params []byte) error {
		var v numbered
		err := json.Unmarshal(params, &v)
		got <- v.N
		return err
	})
	library := jsonrpc2.NewConn(t.Context(), b, Handler(func(_ context.Context, r *jsonrpc2.Request) (any, error) {
		var v numbered
		err := Decode(r, &v)
		got <- v.N
		return nil, err
	}))
	defer library.Close()
	for _, message := range []string{
		string(NewNotification("direct", json.RawMessage(`{"n":1}`))),
		string(NewNotification("other", json.RawMessage(`{"n":2}`))),
		`{"method":"direct","jsonrpc":"2.0","params":{"n":3}}`,
		string(NewNotification("direct", json.RawMessage(`{"n":4}`))),
	} {
		assert.NilError(t, a.Send([]byte(message)))
	}
	for n := 1; n <= 4; n++ {
		assert.Equal(t, <-got, n)
	}
}

func TestRejectedDirectNotificationIsReadNormally(t *testing.T) {
	a, b := connectedStreams(t)
	b.ServeDirectly("direct", func(params []byte) error { return json.Unmarshal(params, new(numbered)) })
	const message = `{"jsonrpc":"2.0","method":"direct","params":{"n":1},"more":2}`
	assert.NilError(t, a.Send([]byte(message)))
	var got json.RawMessage
	assert.NilError(t, b.ReadObject(&got))
	assert.Equal(t, string(got), message)
	const cut = `{"jsonrpc":"2.0","method":"direct","params":`
	assert.NilError(t, a.Send([]byte(cut)))
	assert.Assert(t, b.ReadObject(new(numbered)) != nil, "a message without parameters")
	_, err := a.conn.Write([]byte{0, 0, 0, 90, '{'})
	assert.NilError(t, err)
	assert.NilError(t, a.Close())
	assert.Assert(t, errors.Is(b.ReadObject(&got), ErrMalformed))
}

func BenchmarkNotification(b *testing.B) {
	params := json.RawMessage(`{"f":2,"g":103,"i":"i-7f3a91c2","r":9,"k":true,"t":4711,"w":5123,"wp":[1000,4123]}`)
	message := NewNotification("engine.status", params)
	for name, direct := range map[string]bool{"directly": true, "library": false} {
		b.Run(name, func(b *testing.B) {
			sender, reader := connectedStreams(b)
			done := make(chan struct{}, b.N+1)
			decode := func(params []byte) error {
				var v struct {
					F, G, R, T, W int
					I             string
					Wp            []int
				}
				done <- struct{}{}
				return json.Unmarshal(params, &v)
			}
			if direct {
				reader.ServeDirectly("engine.status", decode)
			}
			conn := jsonrpc2.NewConn(b.Context(), reader, Handler(func(_ context.Context, r *jsonrpc2.Request) (any, error) {
				return nil, decode(*r.Params)
			}))
			defer conn.Close()
			b.ResetTimer()
			for range b.N {
				if err := sender.Send(message); err != nil {
					b.Fatal(err)
				}
			}
			for range b.N {
				<-done
			}
		})
	}
}
