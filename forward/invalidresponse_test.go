package forward

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"
)

// resets is how often each way of a reset is played. Who gets the error is a matter of chance.
const resets = 10

// earlyUpstream runs an upstream that responds by respond as soon as it has read the head of a request.
func earlyUpstream(t *testing.T, respond func(*net.TCPConn)) *Pool {
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
	return NewPool(l.Addr().String())
}

// readBody and readEvents read the response to the end.
func readBody(rs *UpstreamResponse) error {
	_, err := rs.Body(1 << 20)
	return err
}

func readEvents(rs *UpstreamResponse) error {
	for {
		if _, err := rs.Event(); err == io.EOF {
			return nil
		} else if err != nil {
			return err
		}
	}
}

// A part of a response must not look complete, whoever got the error of the reset.
func TestResetWhileRequestIsWrittenIsBroken(t *testing.T) {
	for name, read := range map[string]func(*UpstreamResponse) error{"body": readBody, "events": readEvents} {
		for _, bodyBytes := range []int{1, 64 << 10, 1 << 20, 8 << 20} {
			for _, pause := range []time.Duration{0, time.Millisecond, 20 * time.Millisecond} {
				t.Run(fmt.Sprintf("%s, %d bytes, %v", name, bodyBytes, pause), func(t *testing.T) {
					p := earlyUpstream(t, func(conn *net.TCPConn) {
						_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nid: 1\ndata: x\n\n")
						time.Sleep(pause)
						_ = conn.SetLinger(0)
					})
					for range resets {
						r := request("1")
						r.Body = make([]byte, bodyBytes)
						rs, err := p.Send(t.Context(), r)
						if err == nil {
							err = read(rs)
							rs.Close()
						}
						assert.Assert(t, errors.Is(err, ErrBroken), "%v", err)
					}
				})
			}
		}
	}
}

// A look at the connection of a stream takes the error of a reset from the next read.
func TestResetAfterLookIsBroken(t *testing.T) {
	p := earlyUpstream(t, func(conn *net.TCPConn) {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nid: 1\ndata: x\n\n")
		time.Sleep(10 * time.Millisecond)
		_ = conn.SetLinger(0)
	})
	for range resets {
		var received func() bool
		r := request("1")
		r.Watch = func(f func() bool) { received = f }
		rs, err := p.Send(t.Context(), r)
		assert.NilError(t, err)
		_, err = rs.Event()
		assert.NilError(t, err)
		time.Sleep(30 * time.Millisecond)
		assert.Assert(t, !received())
		_, err = rs.Event()
		assert.Assert(t, errors.Is(err, ErrBroken), "%v", err)
		rs.Close()
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
			p := earlyUpstream(t, func(conn *net.TCPConn) {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nwhole")
				end(conn)
			})
			for _, bodyBytes := range []int{1, 8 << 20} {
				r := request("1")
				r.Body = make([]byte, bodyBytes)
				rs, err := p.Send(t.Context(), r)
				assert.NilError(t, err)
				body, err := rs.Body(100)
				assert.NilError(t, err, "%d bytes", bodyBytes)
				assert.Equal(t, string(body), "whole")
				rs.Close()
			}
		})
	}
}

func TestInvalidResponsesAreBroken(t *testing.T) {
	const sound = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 4\r\n\r\nhalf"
	for name, text := range map[string]string{
		"status 000":                     "HTTP/1.1 000 Nothing\r\nId: 1\r\nContent-Length: 4\r\n\r\nhalf",
		"status 000 before a sound one":  "HTTP/1.1 000 Nothing\r\n\r\n" + sound,
		"status 099 before a sound one":  "HTTP/1.1 099 Nothing\r\n\r\n" + sound,
		"status 600":                     "HTTP/1.1 600 Nothing\r\nId: 1\r\nContent-Length: 4\r\n\r\nhalf",
		"status 999":                     "HTTP/1.1 999 Nothing\r\nId: 1\r\nContent-Length: 4\r\n\r\nhalf",
		"upgrade before a sound one":     "HTTP/1.1 101 Switching\r\n\r\n" + sound,
		"other version":                  "HTTP/3.7 200 OK\r\nId: 1\r\nContent-Length: 4\r\n\r\nhalf",
		"blank after length":             "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length : 4\r\n\r\nhalfhalf",
		"blank after chunked":            "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding : chunked\r\n\r\n4\r\nhalf\r\n0\r\n\r\n",
		"blank in a name":                "HTTP/1.1 200 OK\r\nId: 1\r\nX Trouble: 1\r\nContent-Length: 4\r\n\r\nhalf",
		"control byte in a name":         "HTTP/1.1 200 OK\r\nId: 1\r\nX\x01: 1\r\nContent-Length: 4\r\n\r\nhalf",
		"control byte in a value":        "HTTP/1.1 200 OK\r\nId: 1\r\nX: \x01\r\nContent-Length: 4\r\n\r\nhalf",
		"invalid informational head":     "HTTP/1.1 103 Early\r\nX Trouble: 1\r\n\r\n" + sound,
		"names another request too":      "HTTP/1.1 200 OK\r\nId: 1\r\nId: 2\r\nContent-Length: 4\r\n\r\nhalf",
		"names another request first":    "HTTP/1.1 200 OK\r\nId: 2\r\nId: 1\r\nContent-Length: 4\r\n\r\nhalf",
		"blank in a trailer":             "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n0\r\nX Trouble: 1\r\n\r\n",
		"refusal with a blank in a name": "HTTP/1.1 503 Full\r\nId: 1\r\nRetry-After : 9\r\nContent-Length: 0\r\n\r\n",
		"stale response, invalid":        "HTTP/1.1 200 OK\r\nId: 0\r\nX Trouble: 1\r\nContent-Length: 4\r\n\r\nhalf" + sound,
	} {
		t.Run(name, func(t *testing.T) {
			p := earlyUpstream(t, func(conn *net.TCPConn) { _, _ = io.WriteString(conn, text) })
			rs, err := p.Send(t.Context(), request("1"))
			if err == nil {
				err = readBody(rs)
				rs.Close()
			}
			assert.Assert(t, errors.Is(err, ErrBroken), "%v", err)
		})
	}
}

func TestTrailerAfterStreamIsChecked(t *testing.T) {
	for trailer, valid := range map[string]bool{"A: b": true, "A b: c": false} {
		p := earlyUpstream(t, func(conn *net.TCPConn) {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\nf\r\nid: 1\ndata: x\n\n\r\n0\r\n"+trailer+"\r\n\r\n")
		})
		rs, err := p.Send(t.Context(), request("1"))
		assert.NilError(t, err)
		assert.Equal(t, readEvents(rs) == nil, valid, trailer)
		rs.Close()
	}
}
