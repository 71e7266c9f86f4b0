package response

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// resets is how often each way of a reset is played. Who gets the error is a matter of chance.
const resets = 10

// serveRaw runs a server that reads the head of each request and lets serve respond.
func serveRaw(t *testing.T, serve func(*net.TCPConn)) (url string) {
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
				var head []byte
				for one := make([]byte, 1); !bytes.HasSuffix(head, []byte("\r\n\r\n")); {
					if _, err := io.ReadFull(conn, one); err != nil {
						return
					}
					head = append(head, one...)
				}
				serve(conn.(*net.TCPConn))
			}()
		}
	}()
	return "http://" + l.Addr().String()
}

// call posts a body of so many bytes and reads the response.
func call(url string, bodyBytes int) (status int, body []byte, err error) {
	client := &http.Client{Transport: NewTransport(&http.Transport{DisableKeepAlives: true}, &net.Dialer{})}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, url, struct{ io.Reader }{bytes.NewReader(make([]byte, bodyBytes))})
	if err != nil {
		return 0, nil, err
	}
	q.ContentLength = int64(bodyBytes)
	r, err := client.Do(q)
	if err != nil {
		return 0, nil, err
	}
	defer r.Body.Close()
	body, err = io.ReadAll(r.Body)
	return r.StatusCode, body, err
}

// A part of a response must not look complete, whoever got the error of the reset.
func TestResetWhileRequestIsWrittenIsAnError(t *testing.T) {
	for _, bodyBytes := range []int{1, 64 << 10, 1 << 20, 8 << 20} {
		for _, pause := range []time.Duration{0, time.Millisecond, 20 * time.Millisecond} {
			t.Run(fmt.Sprintf("%d bytes, %v", bodyBytes, pause), func(t *testing.T) {
				url := serveRaw(t, func(conn *net.TCPConn) {
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nhalf")
					time.Sleep(pause)
					_ = conn.SetLinger(0)
				})
				for range resets {
					_, body, err := call(url, bodyBytes)
					assert.Assert(t, err != nil, "taken for complete: %q", body)
				}
			})
		}
	}
}

func TestOrderlyEndIsComplete(t *testing.T) {
	for name, end := range map[string]func(*net.TCPConn){
		"request unread until the end": func(conn *net.TCPConn) {
			_ = conn.CloseWrite()
			_, _ = io.Copy(io.Discard, conn)
		},
		"rest of the request refused": func(conn *net.TCPConn) {
			_ = conn.CloseWrite()
			time.Sleep(20 * time.Millisecond)
			_ = conn.SetLinger(0)
		},
	} {
		t.Run(name, func(t *testing.T) {
			url := serveRaw(t, func(conn *net.TCPConn) {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nwhole")
				end(conn)
			})
			for _, bodyBytes := range []int{1, 8 << 20} {
				_, body, err := call(url, bodyBytes)
				assert.NilError(t, err, "%d bytes", bodyBytes)
				assert.Equal(t, string(body), "whole")
			}
		})
	}
}

func TestInvalidResponsesAreErrors(t *testing.T) {
	for name, text := range map[string]string{
		"status 000":             "HTTP/1.1 000 Nothing\r\nContent-Length: 4\r\n\r\nhalf",
		"status 99":              "HTTP/1.1 099 Nothing\r\nContent-Length: 4\r\n\r\nhalf",
		"status +20":             "HTTP/1.1 +20 Nothing\r\nContent-Length: 4\r\n\r\nhalf",
		"status 600":             "HTTP/1.1 600 Nothing\r\nContent-Length: 4\r\n\r\nhalf",
		"status 999":             "HTTP/1.1 999 Nothing\r\nContent-Length: 4\r\n\r\nhalf",
		"upgrade":                "HTTP/1.1 101 Switching\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n",
		"other version":          "HTTP/3.7 200 OK\r\nContent-Length: 4\r\n\r\nhalf",
		"blank after length":     "HTTP/1.1 200 OK\r\nContent-Length : 4\r\n\r\nhalfhalf",
		"blank after chunked":    "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n4\r\nhalf\r\n0\r\n\r\n",
		"blank in a name":        "HTTP/1.1 200 OK\r\nX Trouble: 1\r\nContent-Length: 4\r\n\r\nhalf",
		"tab in a name":          "HTTP/1.1 200 OK\r\nX\tTrouble: 1\r\nContent-Length: 4\r\n\r\nhalf",
		"control byte in a name": "HTTP/1.1 200 OK\r\nX\x01: 1\r\nContent-Length: 4\r\n\r\nhalf",
		"informational":          "HTTP/1.1 103 Early\r\nX Trouble: 1\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nhalf",
		"informational, endless": strings.Repeat("HTTP/1.1 103 Early\r\nLink: x\r\n\r\n", 100) + "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nhalf",
		"blank in a trailer":     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n0\r\nX Trouble: 1\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			url := serveRaw(t, func(conn *net.TCPConn) { _, _ = io.WriteString(conn, text) })
			status, body, err := call(url, 0)
			assert.Assert(t, err != nil, "taken with status %d: %q", status, body)
		})
	}
}

func TestSoundResponsesAreServed(t *testing.T) {
	for name, text := range map[string]string{
		"with a length":    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole",
		"in chunks":        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\nA: b\r\n\r\n",
		"until the end":    "HTTP/1.0 200 OK\r\n\r\nwhole",
		"folded line":      "HTTP/1.1 200 OK\r\nA: b\r\n c\r\nContent-Length: 5\r\n\r\nwhole",
		"after early head": "HTTP/1.1 103 Early\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole",
	} {
		t.Run(name, func(t *testing.T) {
			url := serveRaw(t, func(conn *net.TCPConn) {
				_, _ = io.WriteString(conn, text)
				_ = conn.CloseWrite()
				_, _ = io.Copy(io.Discard, conn)
			})
			status, body, err := call(url, 0)
			assert.NilError(t, err)
			assert.Equal(t, status, http.StatusOK)
			assert.Equal(t, strings.TrimSpace(string(body)), "whole")
		})
	}
}
