package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sandbarrow.example/sandbarrow"
)

// rawUpstream runs an upstream that responds by respond as soon as it has read the head of a request.
func rawUpstream(t *testing.T, respond func(*net.TCPConn)) (url string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				if _, err := http.ReadRequest(bufio.NewReaderSize(conn, 16)); err == nil {
					respond(conn.(*net.TCPConn))
				}
			}()
		}
	}()
	return "http://" + l.Addr().String()
}

// An agent must not pass on a part of a response, or one that is not valid, as a complete one.
func TestServiceResponseThatIsNotCompleteOrValidIsAnError(t *testing.T) {
	const resets = 10
	for name, tc := range map[string]struct {
		text  string
		reset bool
	}{
		"reset while the request is written": {"HTTP/1.1 200 OK\r\n\r\nhalf", true},
		"status 000":                         {"HTTP/1.1 000 Nothing\r\nContent-Length: 4\r\n\r\nhalf", false},
		"status 099":                         {"HTTP/1.1 099 Nothing\r\nContent-Length: 4\r\n\r\nhalf", false},
		"blank after length":                 {"HTTP/1.1 200 OK\r\nContent-Length : 4\r\n\r\nhalfhalf", false},
		"blank in a name":                    {"HTTP/1.1 200 OK\r\nX Trouble: 1\r\nContent-Length: 4\r\n\r\nhalf", false},
	} {
		t.Run(name, func(t *testing.T) {
			url := rawUpstream(t, func(conn *net.TCPConn) {
				_, _ = io.WriteString(conn, tc.text)
				if tc.reset {
					time.Sleep(20 * time.Millisecond)
					_ = conn.SetLinger(0)
				}
			})
			s := NewService(url, noObserver{})
			job := sandbarrow.Job{ID: "r", Method: http.MethodPost, Path: "/"}
			if tc.reset {
				job.Body = make([]byte, 8<<20)
			}
			for range resets {
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
				err := s.Run(ctx, job, &countingSink{})
				cancel()
				assert.Assert(t, err != nil)
			}
		})
	}
}
