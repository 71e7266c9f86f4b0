package forward

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"
)

// upstream answers each request on each connection by the script's bytes.
func upstream(t *testing.T, script func(c net.Conn, id string, turn int)) *Pool {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go serveScript(c, script)
		}
	}()
	return NewPool(listener.Addr().String())
}

func serveScript(c net.Conn, script func(c net.Conn, id string, turn int)) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for turn := 0; ; turn++ {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		script(c, r.Header.Get("Id"), turn)
	}
}

func request(id string) *Request {
	return &Request{Header: http.Header{"Id": {id}}, Host: "h", ID: id, IDHeader: "Id", Method: http.MethodPost, Target: "/a%2Fb?c=d", Body: []byte("x")}
}

func write(c net.Conn, text string) { _, _ = io.WriteString(c, text) }

func whole(id, body string) string {
	return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + itoa(len(body)) + "\r\n\r\n" + body
}

func itoa(n int) string { return string(rune('0' + n)) }

func TestWholeAnswerKeepsConnection(t *testing.T) {
	var mu sync.Mutex
	conns := map[string]bool{}
	p := upstream(t, func(c net.Conn, id string, _ int) {
		mu.Lock()
		conns[c.RemoteAddr().String()] = true
		mu.Unlock()
		write(c, whole(id, "hello"))
	})
	for range 3 {
		a, err := p.Send(t.Context(), request("1"))
		assert.NilError(t, err)
		body, err := a.Body(100)
		assert.NilError(t, err)
		assert.Equal(t, string(body), "hello")
		a.Close()
	}
	assert.Equal(t, len(conns), 1)
}

// What is no whole answer to the request is an error, never a body.
func TestBrokenAnswers(t *testing.T) {
	for name, text := range map[string]string{
		"no answer":           "",
		"no HTTP":             "\x00\x01rubbish\r\n\r\n",
		"body cut":            "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\n\r\nhell",
		"chunk cut":           "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhe",
		"answer to another":   "HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 1\r\n\r\nx",
		"answer without id":   "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx",
		"body over the limit": whole("1", strings.Repeat("x", 9)),
	} {
		t.Run(name, func(t *testing.T) {
			p := upstream(t, func(c net.Conn, _ string, _ int) {
				write(c, text)
				_ = c.Close()
			})
			a, err := p.Send(t.Context(), request("1"))
			if err == nil {
				_, err = a.Body(8)
				a.Close()
			}
			assert.Assert(t, errors.Is(err, ErrBroken), "%v", err)
		})
	}
}

// An answer to an earlier request, late on a kept connection, is passed over.
func TestSurplusAnswerIsPassedOver(t *testing.T) {
	p := upstream(t, func(c net.Conn, id string, turn int) {
		if turn == 1 {
			write(c, whole("1", "old"))
		}
		write(c, whole(id, "mine"))
	})
	for _, id := range []string{"1", "2"} {
		a, err := p.Send(t.Context(), request(id))
		assert.NilError(t, err)
		body, err := a.Body(100)
		assert.NilError(t, err)
		assert.Equal(t, string(body), "mine")
		a.Close()
	}
}

// Bytes after a whole answer end the connection before another request uses it.
func TestStrayBytesEndConnection(t *testing.T) {
	p := upstream(t, func(c net.Conn, id string, turn int) {
		if turn > 0 {
			t.Error("a connection with stray bytes was used again")
		}
		write(c, whole(id, "a")+"stray")
	})
	for _, id := range []string{"1", "2"} {
		a, err := p.Send(t.Context(), request(id))
		assert.NilError(t, err)
		_, err = a.Body(100)
		assert.NilError(t, err)
		a.Close()
		time.Sleep(20 * time.Millisecond)
	}
}

// A connection that the upstream has closed is not used for another request.
func TestClosedConnectionIsNotUsed(t *testing.T) {
	p := upstream(t, func(c net.Conn, id string, _ int) {
		write(c, whole(id, "a"))
		_ = c.Close()
	})
	for range 5 {
		a, err := p.Send(t.Context(), request("1"))
		assert.NilError(t, err)
		_, err = a.Body(100)
		assert.NilError(t, err)
		a.Close()
		time.Sleep(10 * time.Millisecond)
	}
}

func TestNothingListens(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := listener.Addr().String()
	assert.NilError(t, listener.Close())
	_, err = NewPool(address).Send(t.Context(), request("1"))
	assert.Assert(t, errors.Is(err, ErrNotSent), "%v", err)
}

func TestCancelEndsWait(t *testing.T) {
	p := upstream(t, func(net.Conn, string, int) { time.Sleep(time.Second) })
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Millisecond)
	defer cancel()
	began := time.Now()
	_, err := p.Send(ctx, request("1"))
	assert.Assert(t, errors.Is(err, ErrBroken), "%v", err)
	assert.Assert(t, time.Since(began) < 500*time.Millisecond)
}

// Only whole events come out; a stream that ends within one is broken.
func TestEvents(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nId: 1\r\nConnection: close\r\n\r\n"
	for name, tc := range map[string]struct {
		body   string
		events int
		want   error
	}{
		"two":          {"id: 1\ndata: a\n\nid: 2\ndata: b\n\n", 2, io.EOF},
		"line ends":    {"id: 1\r\ndata: a\r\n\r\n", 1, io.EOF},
		"cut in event": {"id: 1\ndata: a\n\nid: 2\nda", 1, ErrBroken},
		"cut in blank": {"id: 1\ndata: a\n", 0, ErrBroken},
		"long line":    {"id: 1\ndata: " + strings.Repeat("x", 20000) + "\n\n", 1, io.EOF},
	} {
		t.Run(name, func(t *testing.T) {
			p := upstream(t, func(c net.Conn, _ string, _ int) {
				write(c, head+tc.body)
				_ = c.Close()
			})
			a, err := p.Send(t.Context(), request("1"))
			assert.NilError(t, err)
			defer a.Close()
			events := 0
			for {
				event, err := a.Event()
				if err != nil {
					assert.Assert(t, errors.Is(err, tc.want), "%v", err)
					break
				}
				events++
				assert.Equal(t, EventID(event), itoa(events))
			}
			assert.Equal(t, events, tc.events)
		})
	}
}

func TestEarlyAnswerEndsConnection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	accepted := make(chan int, 4)
	go func() {
		for n := 1; ; n++ {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			accepted <- n
			go func() {
				_, _ = io.ReadFull(c, make([]byte, 10))
				write(c, whole("1", "no"))
				time.Sleep(time.Second) // keeps the connection open without reading
			}()
		}
	}()
	p := NewPool(listener.Addr().String())
	r := request("1")
	r.Body = make([]byte, 8<<20)
	for range 2 {
		a, err := p.Send(t.Context(), r)
		assert.NilError(t, err)
		_, err = a.Body(10)
		assert.NilError(t, err)
		a.Close()
	}
	assert.Equal(t, len(accepted), 2)
}

func TestIdleTime(t *testing.T) {
	assert.Equal(t, idleTime(http.Header{"Keep-Alive": {"timeout=5, max=10"}}), 5*time.Second)
	assert.Equal(t, idleTime(http.Header{"Keep-Alive": {"max=10"}}), time.Duration(0))
	assert.Equal(t, idleTime(http.Header{}), time.Duration(0))
}

func TestWithheldRequestDoesNotLeave(t *testing.T) {
	var mu sync.Mutex
	arrived := 0
	p := upstream(t, func(c net.Conn, id string, _ int) {
		mu.Lock()
		arrived++
		mu.Unlock()
		write(c, whole(id, "one"))
	})
	r := request("1")
	r.MayLeave = func() bool { return false }
	_, err := p.Send(t.Context(), r)
	assert.Assert(t, errors.Is(err, ErrNotSent), "%v", err)
	r.MayLeave = func() bool { return true }
	a, err := p.Send(t.Context(), r)
	assert.NilError(t, err)
	a.Close()
	mu.Lock()
	defer mu.Unlock()
	assert.Equal(t, arrived, 1)
}
