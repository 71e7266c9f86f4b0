package httpserve

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sandbarrow.example/sandbarrow/internal/await"
	"sandbarrow.example/sandbarrow/internal/socket"
)

// Guards against responses that are reset as their connection is closed with a further request unread.
func TestResponseIsCompleteThoughFurtherRequestIsUnread(t *testing.T) {
	const size = 3 << 20
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	unread := make(chan struct{})
	server := &http.Server{ConnContext: WithConn, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		await.Until(t, 2*time.Second, "a further request", func() bool { return socket.Look(RequestConn(r).Conn) == socket.Bytes })
		close(unread)
		w.Header().Set("Connection", "close")
		_, _ = io.WriteString(w, strings.Repeat("x", size))
	})}
	defer server.Close()
	go func() { _ = server.Serve(NewConnListener(l)) }()
	conn, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	defer conn.Close()
	assert.NilError(t, conn.(*net.TCPConn).SetReadBuffer(32<<10))
	const request = "GET / HTTP/1.1\r\nHost: a.example\r\n\r\n"
	_, err = io.WriteString(conn, request)
	assert.NilError(t, err)
	time.Sleep(50 * time.Millisecond) // until the server has read the first request alone
	_, err = io.WriteString(conn, request)
	assert.NilError(t, err)
	<-unread
	time.Sleep(300 * time.Millisecond) // until the server has written and closed
	got, err := io.ReadAll(conn)
	assert.NilError(t, err)
	assert.Check(t, len(got) > size, "%d bytes", len(got))
}
