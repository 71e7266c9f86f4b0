package httpserve

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sandbarrow.example/sandbarrow/internal/await"
)

// tcpPair returns the two ends of a connection; near is a Conn.
func tcpPair(t *testing.T) (near *Conn, far net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	far, err = net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	accepted, err := NewConnListener(l).Accept()
	assert.NilError(t, err)
	near = accepted.(*Conn)
	t.Cleanup(func() {
		_ = near.Conn.Close()
		_ = far.Close()
	})
	return near, far
}

// waitingPair is a tcpPair whose server waits for bytes.
func waitingPair(t *testing.T) (near *Conn, far net.Conn) {
	t.Helper()
	near, far = tcpPair(t)
	go func() { _, _ = near.Read(make([]byte, 1)) }()
	await.Until(t, 2*time.Second, "a read", func() bool {
		near.mu.Lock()
		defer near.mu.Unlock()
		return near.reading
	})
	return near, far
}

// closedWithin reports whether the far end of a connection is closed in time.
func closedWithin(t *testing.T, far net.Conn, wait time.Duration) bool {
	t.Helper()
	assert.NilError(t, far.SetReadDeadline(time.Now().Add(wait)))
	_, err := far.Read(make([]byte, 1))
	timeout, ok := err.(net.Error)
	return !ok || !timeout.Timeout()
}

func TestIdleConnectionIsClosedAfterBound(t *testing.T) {
	bound := 50 * time.Millisecond
	i := NewIdleCloser(func() time.Duration { return bound })
	near, far := waitingPair(t)
	i.TrackState(near, http.StateIdle)
	i.TrackState(near, http.StateActive)
	assert.Assert(t, !closedWithin(t, far, 3*bound), "an active connection was closed")
	i.TrackState(near, http.StateIdle)
	assert.Assert(t, closedWithin(t, far, 2*time.Second))
	assert.Equal(t, near.Use().Closed, ClosedIdle)
	i.TrackState(near, http.StateClosed)
	assert.Equal(t, len(i.elements), 0)
	bound = 0
	near, far = waitingPair(t)
	i.TrackState(near, http.StateIdle)
	assert.Assert(t, !closedWithin(t, far, 100*time.Millisecond))
}

func TestLongestIdleConnectionIsClosedFirst(t *testing.T) {
	i := NewIdleCloser(func() time.Duration { return time.Hour })
	var near []*Conn
	var far []net.Conn
	for range 3 {
		n, f := waitingPair(t)
		near, far = append(near, n), append(far, f)
		i.TrackState(n, http.StateIdle)
	}
	i.TrackState(near[0], http.StateActive)
	i.TrackState(near[0], http.StateIdle)
	i.TrackState(near[2], http.StateActive)
	for _, want := range []int{1, 0} {
		assert.Assert(t, i.CloseLongest())
		_, err := far[want].Read(make([]byte, 1))
		assert.ErrorIs(t, err, io.EOF)
	}
	assert.Assert(t, !i.CloseLongest(), "an active connection was closed")
	assert.Assert(t, !closedWithin(t, far[2], 10*time.Millisecond))
}

func TestConnectionWithBytesOrBusyServerIsNotIdle(t *testing.T) {
	for name, tc := range map[string]struct {
		pair func(*testing.T) (*Conn, net.Conn)
		sent string
	}{
		"bytes that were read":         {waitingPair, "G"},
		"bytes that have arrived":      {tcpPair, "G"},
		"a server that doesn't read":   {tcpPair, ""},
		"the same after a long header": {waitingPair, "GET / HT"},
	} {
		t.Run(name, func(t *testing.T) {
			i := NewIdleCloser(func() time.Duration { return 20 * time.Millisecond })
			near, far := tc.pair(t)
			i.TrackState(near, http.StateIdle)
			if tc.sent != "" {
				_, err := io.WriteString(far, tc.sent)
				assert.NilError(t, err)
				time.Sleep(5 * time.Millisecond) // until it has arrived
			}
			assert.Assert(t, !i.CloseLongest())
			i.CloseAll(ClosedForStop)
			assert.Assert(t, !closedWithin(t, far, 100*time.Millisecond))
		})
	}
}

func TestIncompleteHeaderKeepsConnectionForHeaderTimeoutOnly(t *testing.T) {
	near, _ := waitingPair(t)
	near.unanswered, near.lastRead = true, time.Now()
	assert.Assert(t, !near.closeIfIdle(ClosedIdle))
	near.lastRead = time.Now().Add(-2 * headerTimeout)
	assert.Assert(t, near.closeIfIdle(ClosedIdle))
}

func TestFreshConnectionIsClosedForStopAfterHeaderTimeoutOnly(t *testing.T) {
	i := NewIdleCloser(func() time.Duration { return time.Hour })
	near, _ := waitingPair(t)
	i.TrackState(near, http.StateNew)
	assert.Assert(t, !i.CloseLongest())
	i.CloseAll(ClosedForStop)
	assert.Equal(t, near.Use().Closed, CloseCause(""))
	near.idleSince = time.Now().Add(-2 * headerTimeout)
	i.CloseAll(ClosedForStop)
	assert.Equal(t, near.Use().Closed, ClosedForStop)
}

func TestCallerSeesEndOfWritesBeforeClose(t *testing.T) {
	near, far := tcpPair(t)
	var server interface{ CloseWrite() error } = near
	assert.NilError(t, server.CloseWrite())
	_, err := far.Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF)
	assert.Equal(t, near.Use().Closed, CloseCause(""))
	_, err = io.WriteString(far, "x")
	assert.NilError(t, err)
	_, err = near.Read(make([]byte, 1))
	assert.NilError(t, err, "the other side is open")
}

// lateConn returns what it has read after a delay, as where the process stands still in between.
type lateConn struct {
	net.Conn
	delay *atomic.Int64
}

func (c lateConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	time.Sleep(time.Duration(c.delay.Load()))
	return n, err
}

type lateListener struct {
	net.Listener
	delay *atomic.Int64
}

func (l lateListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return lateConn{c, l.delay}, err
}

// Guards against requests that are served on a connection that was closed as they were read.
func TestRequestReadAsItsConnectionIsClosedIsNotServed(t *testing.T) {
	for name, closeNow := range map[string]func(*IdleCloser){
		"for room": func(i *IdleCloser) { i.CloseLongest() },
		"for stop": func(i *IdleCloser) { i.CloseAll(ClosedForStop) },
		"as idle":  func(*IdleCloser) { time.Sleep(40 * time.Millisecond) },
	} {
		t.Run(name, func(t *testing.T) {
			bound := time.Hour
			if name == "as idle" {
				bound = 30 * time.Millisecond
			}
			i := NewIdleCloser(func() time.Duration { return bound })
			var served atomic.Int32
			var delay atomic.Int64
			l, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			server := &http.Server{ConnState: i.TrackState, Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { served.Add(1) })}
			go func() { _ = server.Serve(NewConnListener(lateListener{l, &delay})) }()
			defer server.Close()
			conn, err := net.Dial("tcp", l.Addr().String())
			assert.NilError(t, err)
			defer conn.Close()
			reader := bufio.NewReader(conn)
			answered := 0
			for range 2 {
				_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
				assert.NilError(t, err)
				if delay.Load() > 0 {
					time.Sleep(20 * time.Millisecond)
					closeNow(i)
				}
				if r, err := http.ReadResponse(reader, nil); err == nil {
					assert.NilError(t, r.Body.Close())
					answered++
				}
				delay.Store(int64(100 * time.Millisecond))
			}
			time.Sleep(200 * time.Millisecond)
			assert.Equal(t, int(served.Load()), answered)
		})
	}
}

// Guards against a close of a connection whose request has been read but not passed on yet.
func TestConnectionWhoseBytesAreBeingReadIsNotIdle(t *testing.T) {
	near, far := waitingPair(t)
	byte1 := make([]byte, 1)
	for i := range 400 {
		_, err := far.Write([]byte("G"))
		assert.NilError(t, err)
		assert.Assert(t, !near.closeIfIdle(ClosedIdle), "closed with a byte that had arrived, after %d others", i)
		await.Until(t, 2*time.Second, "the byte", func() bool {
			near.mu.Lock()
			defer near.mu.Unlock()
			return near.unanswered
		})
		_, err = near.Write([]byte("H"))
		assert.NilError(t, err)
		_, err = far.Read(byte1)
		assert.NilError(t, err)
		go func() { _, _ = near.Read(make([]byte, 1)) }()
		await.Until(t, 2*time.Second, "a read", func() bool {
			near.mu.Lock()
			defer near.mu.Unlock()
			return near.reading
		})
	}
}
