package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sandbarrow.example/sandbarrow/route"
)

// sendBodyPart sends the head of a request and a part of its body, and returns the connection.
func (f *fleet) sendBodyPart(t *testing.T, deadline time.Duration) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	_, err = fmt.Fprintf(conn, "POST /p/ HTTP/1.1\r\nHost: %s\r\n%s: r1\r\n%s: %d\r\nContent-Length: 4\r\n\r\nha", testHost, testNames.RequestID, testNames.Deadline, deadline.Milliseconds())
	assert.NilError(t, err)
	return conn
}

// A body that stops arriving must not hold its request and connection for good.
func TestRequestWhoseBodyStopsIsRefusedAtItsDeadline(t *testing.T) {
	f := newFleet(t, 0, 1)
	f.configure(t, plainRoute(route.KindUnsafe)) // its timeout is 2 s
	for name, deadline := range map[string]time.Duration{"caller's deadline": 500 * time.Millisecond, "route's timeout": time.Minute} {
		t.Run(name, func(t *testing.T) {
			began := time.Now()
			conn := f.sendBodyPart(t, deadline)
			assert.NilError(t, conn.SetReadDeadline(began.Add(4*time.Second)))
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			assert.NilError(t, err)
			assert.Equal(t, response.StatusCode, http.StatusRequestTimeout)
			assert.Assert(t, time.Since(began) >= min(deadline, 2*time.Second))
			assert.Assert(t, time.Since(began) < min(deadline, 2*time.Second)+500*time.Millisecond)
		})
	}
	assert.Equal(t, len(f.runners[0].runs()), 0)
}

func TestBodyThatArrivesSlowlyIsServed(t *testing.T) {
	f := newFleet(t, 0, 1)
	f.configure(t, plainRoute(route.KindUnsafe))
	conn := f.sendBodyPart(t, time.Second)
	reader := bufio.NewReader(conn)
	for range 2 { // the limit of the first request must not end the connection
		time.Sleep(600 * time.Millisecond)
		_, err := io.WriteString(conn, "lf")
		assert.NilError(t, err)
		response, err := http.ReadResponse(reader, nil)
		assert.NilError(t, err)
		_, err = io.Copy(io.Discard, response.Body)
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, http.StatusOK)
		time.Sleep(600 * time.Millisecond)
		_, err = fmt.Fprintf(conn, "POST /p/ HTTP/1.1\r\nHost: %s\r\n%s: r2\r\n%s: 1000\r\nContent-Length: 4\r\n\r\nha", testHost, testNames.RequestID, testNames.Deadline)
		assert.NilError(t, err)
	}
}
