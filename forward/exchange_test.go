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

// scriptedUpstream runs an upstream that calls script for each request and returns a pool for it.
func scriptedUpstream(t *testing.T, script func(c net.Conn, id string, turn int)) *Pool {
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

func completeResponse(id, body string) string {
	return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + itoa(len(body)) + "\r\n\r\n" + body
}

func itoa(n int) string { return string(rune('0' + n)) }

func TestConnectionIsReusedAfterCompleteResponse(t *testing.T) {
	var mu sync.Mutex
	conns := map[string]bool{}
	p := scriptedUpstream(t, func(c net.Conn, id string, _ int) {
		mu.Lock()
		conns[c.RemoteAddr().String()] = true
		mu.Unlock()
		write(c, completeResponse(id, "hello"))
	})
	for range 3 {
		resp, err := p.Send(t.Context(), request("1"))
		assert.NilError(t, err)
		body, err := resp.Body(100)
		assert.NilError(t, err)
		assert.Equal(t, string(body), "hello")
		resp.Close()
	}
	assert.Equal(t, len(conns), 1)
}

// A malformed, truncated or foreign response is an error; its body is never returned.
func TestBrokenResponsesAreErrors(t *testing.T) {
	for name, text := range map[string]string{
		"no response":         "",
		"not HTTP":            "\x00\x01rubbish\r\n\r\n",
		"cut body":            "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\n\r\nhell",
		"cut chunk":           "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhe",
		"other request's ID":  "HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 1\r\n\r\nx",
		"no request ID":       "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx",
		"body over the limit": completeResponse("1", strings.Repeat("x", 9)),
	} {
		t.Run(name, func(t *testing.T) {
			p := scriptedUpstream(t, func(c net.Conn, _ string, _ int) {
				write(c, text)
				_ = c.Close()
			})
			resp, err := p.Send(t.Context(), request("1"))
			if err == nil {
				_, err = resp.Body(8)
				resp.Close()
			}
			assert.Assert(t, errors.Is(err, ErrBroken), "%v", err)
		})
	}
}

// A late response to an earlier request on a reused connection is skipped.
// unframedHead is the head of a response with neither a length nor chunks.
const unframedHead = "HTTP/1.1 200 OK\r\nId: 1\r\n\r\n"

func TestUnframedResponseEndsWithItsConnection(t *testing.T) {
	for name, tc := range map[string]struct {
		reset bool
		want  error
	}{
		"closed": {false, nil},
		"reset":  {true, ErrBroken},
	} {
		t.Run(name, func(t *testing.T) {
			var conns sync.WaitGroup
			p := scriptedUpstream(t, func(c net.Conn, _ string, _ int) {
				conns.Add(1)
				defer conns.Done()
				write(c, unframedHead+"hello")
				if tc.reset {
					time.Sleep(20 * time.Millisecond) // the head arrives before the reset
					assert.NilError(t, c.(*net.TCPConn).SetLinger(0))
				}
				_ = c.Close()
			})
			resp, err := p.Send(t.Context(), request("1"))
			assert.NilError(t, err)
			defer resp.Close()
			body, err := resp.Body(8)
			conns.Wait()
			if tc.want != nil {
				assert.Assert(t, errors.Is(err, tc.want), "%v", err)
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, string(body), "hello")
		})
	}
}

func TestEndsWithEvent(t *testing.T) {
	for stream, want := range map[string]bool{
		"": true, "data: a\n\n": true, "data: a\r\n\r\n": true, "data: a": false, "data: a\n": false, "data: a\n\ndata": false,
	} {
		assert.Equal(t, EndsWithEvent([]byte(stream)), want, "%q", stream)
	}
}

func TestStaleResponseIsSkipped(t *testing.T) {
	p := scriptedUpstream(t, func(c net.Conn, id string, turn int) {
		if turn == 1 {
			write(c, completeResponse("1", "old"))
		}
		write(c, completeResponse(id, "mine"))
	})
	for _, id := range []string{"1", "2"} {
		resp, err := p.Send(t.Context(), request(id))
		assert.NilError(t, err)
		body, err := resp.Body(100)
		assert.NilError(t, err)
		assert.Equal(t, string(body), "mine")
		resp.Close()
	}
}

// Bytes after a complete response close the connection before another request uses it.
func TestConnectionWithStrayBytesIsNotReused(t *testing.T) {
	p := scriptedUpstream(t, func(c net.Conn, id string, turn int) {
		if turn > 0 {
			t.Error("a connection with stray bytes was reused")
		}
		write(c, completeResponse(id, "a")+"stray")
	})
	for _, id := range []string{"1", "2"} {
		resp, err := p.Send(t.Context(), request(id))
		assert.NilError(t, err)
		_, err = resp.Body(100)
		assert.NilError(t, err)
		resp.Close()
		time.Sleep(20 * time.Millisecond)
	}
}

// A connection that the upstream has closed is not used for another request.
func TestClosedConnectionIsNotReused(t *testing.T) {
	p := scriptedUpstream(t, func(c net.Conn, id string, _ int) {
		write(c, completeResponse(id, "a"))
		_ = c.Close()
	})
	for range 5 {
		resp, err := p.Send(t.Context(), request("1"))
		assert.NilError(t, err)
		_, err = resp.Body(100)
		assert.NilError(t, err)
		resp.Close()
		time.Sleep(10 * time.Millisecond)
	}
}

func TestRefusedConnectionIsErrNotSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := listener.Addr().String()
	assert.NilError(t, listener.Close())
	_, err = NewPool(address).Send(t.Context(), request("1"))
	assert.Assert(t, errors.Is(err, ErrNotSent), "%v", err)
}

func TestCancelInterruptsSend(t *testing.T) {
	p := scriptedUpstream(t, func(net.Conn, string, int) { time.Sleep(time.Second) })
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Millisecond)
	defer cancel()
	start := time.Now()
	_, err := p.Send(ctx, request("1"))
	assert.Assert(t, errors.Is(err, ErrBroken), "%v", err)
	assert.Assert(t, time.Since(start) < 500*time.Millisecond)
}

// Only complete events are returned; a stream that ends inside an event is broken.
func TestOnlyCompleteEventsAreReturned(t *testing.T) {
	head := unframedHead
	for name, tc := range map[string]struct {
		body   string
		events int
		want   error
	}{
		"two":           {"id: 1\ndata: a\n\nid: 2\ndata: b\n\n", 2, io.EOF},
		"CRLF":          {"id: 1\r\ndata: a\r\n\r\n", 1, io.EOF},
		"cut in event":  {"id: 1\ndata: a\n\nid: 2\nda", 1, ErrBroken},
		"no blank line": {"id: 1\ndata: a\n", 0, ErrBroken},
		"long line":     {"id: 1\ndata: " + strings.Repeat("x", 20000) + "\n\n", 1, io.EOF},
	} {
		t.Run(name, func(t *testing.T) {
			p := scriptedUpstream(t, func(c net.Conn, _ string, _ int) {
				write(c, head+tc.body)
				_ = c.Close()
			})
			resp, err := p.Send(t.Context(), request("1"))
			assert.NilError(t, err)
			defer resp.Close()
			events := 0
			for {
				event, err := resp.Event()
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

func TestConnectionWithUnreadRequestIsNotReused(t *testing.T) {
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
				write(c, completeResponse("1", "no"))
				time.Sleep(time.Second) // keeps the connection open without reading
			}()
		}
	}()
	p := NewPool(listener.Addr().String())
	r := request("1")
	r.Body = make([]byte, 8<<20)
	for range 2 {
		resp, err := p.Send(t.Context(), r)
		assert.NilError(t, err)
		_, err = resp.Body(10)
		assert.NilError(t, err)
		resp.Close()
	}
	assert.Equal(t, len(accepted), 2)
}

func TestKeepAliveTimeout(t *testing.T) {
	assert.Equal(t, keepAliveTimeout(http.Header{"Keep-Alive": {"timeout=5, max=10"}}), 5*time.Second)
	assert.Equal(t, keepAliveTimeout(http.Header{"Keep-Alive": {"max=10"}}), time.Duration(0))
	assert.Equal(t, keepAliveTimeout(http.Header{}), time.Duration(0))
}

func TestDisallowedRequestIsNotSent(t *testing.T) {
	var mu sync.Mutex
	received := 0
	p := scriptedUpstream(t, func(c net.Conn, id string, _ int) {
		mu.Lock()
		received++
		mu.Unlock()
		write(c, completeResponse(id, "one"))
	})
	r := request("1")
	r.AllowSend = func() bool { return false }
	_, err := p.Send(t.Context(), r)
	assert.Assert(t, errors.Is(err, ErrNotSent), "%v", err)
	r.AllowSend = func() bool { return true }
	resp, err := p.Send(t.Context(), r)
	assert.NilError(t, err)
	resp.Close()
	mu.Lock()
	defer mu.Unlock()
	assert.Equal(t, received, 1)
}

// After a time-out on a kept connection the other idle ones must not cost a request each.
func TestIdleConnectionsAreClosedAfterSilentOne(t *testing.T) {
	var silent sync.Map
	dials := 0
	var mu sync.Mutex
	release := make(chan struct{})
	p := scriptedUpstream(t, func(c net.Conn, id string, turn int) {
		mu.Lock()
		if turn == 0 {
			dials++
		}
		mu.Unlock()
		if _, gone := silent.Load(c.RemoteAddr().String()); gone {
			<-release
			return
		}
		if id == "1" {
			<-release // so that the requests use a connection each
		}
		write(c, completeResponse(id, "hello"))
	})
	const connections = 4
	var group sync.WaitGroup
	for range connections {
		group.Go(func() {
			resp, err := p.Send(t.Context(), request("1"))
			assert.Check(t, err)
			_, err = resp.Body(100)
			assert.Check(t, err)
			resp.Close()
		})
	}
	time.Sleep(100 * time.Millisecond)
	close(release)
	group.Wait()
	release = make(chan struct{})
	defer close(release)
	assert.Equal(t, len(p.idle), connections)
	for _, c := range p.idle {
		silent.Store(c.LocalAddr().String(), true)
	}
	left, leave := context.WithCancel(t.Context())
	time.AfterFunc(50*time.Millisecond, leave)
	_, err := p.Send(left, request("2"))
	assert.Assert(t, errors.Is(err, ErrBroken))
	assert.Equal(t, len(p.idle), connections-1, "a caller who leaves shows nothing")
	timed, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err = p.Send(timed, request("3"))
	assert.Assert(t, errors.Is(err, ErrBroken))
	assert.Equal(t, len(p.idle), 0)
	resp, err := p.Send(t.Context(), request("4"))
	assert.NilError(t, err)
	resp.Close()
	assert.Equal(t, dials, connections+1)
}
