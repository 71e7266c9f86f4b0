package forward

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"
)

// head is the beginning of a response to a request.
func head(id string) string { return "HTTP/1.1 200 OK\r\nId: " + id + "\r\n" }

// repeat writes a text until the connection is closed. It writes no more than 256 MiB.
func repeat(c net.Conn, text string) {
	block := []byte(strings.Repeat(text, 1+(32<<10)/len(text)))
	for written := 0; written < 256<<20; {
		n, err := c.Write(block)
		if err != nil {
			return
		}
		written += n
	}
}

// readAll reads a response as a gateway does.
func readAll(pool *Pool, r *Request, stream bool) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	rs, err := pool.Send(ctx, r)
	if err != nil {
		return err
	}
	defer rs.Close()
	if !stream {
		_, err = rs.Body(16 << 20)
		return err
	}
	for {
		if _, err := rs.Event(); err != nil {
			return err
		}
	}
}

func TestResponseWithoutEndIsBrokenOffAtItsBound(t *testing.T) {
	for name, tc := range map[string]struct {
		begin, repeat string
		stream        bool
		part          Part
		held          int
	}{
		"no HTTP":               {"", "\x00\xff", false, PartHead, 64 << 10},
		"a status line":         {"HTTP/1.1 200 ", "x", false, PartHead, 64 << 10},
		"one field":             {"HTTP/1.1 200 OK\r\nA: ", "x", false, PartHead, 64 << 10},
		"short fields":          {"HTTP/1.1 200 OK\r\n", "a:\n", false, PartHead, 64 << 10},
		"fields":                {"HTTP/1.1 200 OK\r\n", "A-Field: of some length\r\n", false, PartHead, 64 << 10},
		"folded lines":          {"HTTP/1.1 200 OK\r\nA: b\r\n", " c\r\n", false, PartHead, 64 << 10},
		"interim heads":         {"", "HTTP/1.1 100 Continue\r\n\r\n", false, "", 64 << 10},
		"a body without length": {head("1") + "\r\n", "x", false, PartBody, 33 << 20},
		"a body in chunks":      {head("1") + "Transfer-Encoding: chunked\r\n\r\n", "40\r\n" + strings.Repeat("x", 64) + "\r\n", false, PartBody, 33 << 20},
		"a chunk's size":        {head("1") + "Transfer-Encoding: chunked\r\n\r\n", "0", false, "", 64 << 10},
		"trailers":              {head("1") + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n", false, "", 64 << 10},
		"an event":              {head("1") + "\r\n", "data: x", true, PartEvent, 2 << 20},
		"lines of an event":     {head("1") + "\r\n", "data: x\n", true, PartEvent, 2 << 20},
		"small events":          {head("1") + "\r\n", "data: " + strings.Repeat("x", 1000) + "\n\n", true, PartStream, 64 << 10},
		"a stale response":      {"HTTP/1.1 200 OK\r\nId: 0\r\nTransfer-Encoding: chunked\r\n\r\n", "40\r\n" + strings.Repeat("x", 64) + "\r\n", false, PartStale, 64 << 10},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			pool := scriptedUpstream(t, func(c net.Conn, _ string, _ int) {
				write(c, tc.begin)
				repeat(c, tc.repeat)
			})
			held, most := 0, 0
			r := request("1")
			r.Hold = func(n int) error {
				held += n
				most = max(most, held)
				return nil
			}
			err := readAll(pool, r, tc.stream)
			assert.ErrorIs(t, err, ErrBroken)
			var tooLarge *TooLargeError
			if tc.part != "" {
				assert.Assert(t, errors.As(err, &tooLarge), "%v", err)
				assert.Equal(t, tooLarge.Part, tc.part)
			}
			assert.Assert(t, most <= tc.held, "%d bytes held", most)
			assert.Equal(t, held, 0)
		})
	}
}

func TestHeldBytesAreCountedBeforeTheyAreRead(t *testing.T) {
	full := errors.New("full")
	for name, tc := range map[string]struct {
		response string
		stream   bool
	}{
		"a head":                {"HTTP/1.1 200 OK\r\nA: " + strings.Repeat("x", 3*freeBytes) + "\r\nId: 1\r\nContent-Length: 0\r\n\r\n", false},
		"a body":                {head("1") + "Content-Length: 1000\r\n\r\n", false},
		"a body without length": {head("1") + "\r\nabc", false},
		"an event":              {head("1") + "\r\ndata: " + strings.Repeat("x", 3*freeBytes) + "\n\n", true},
	} {
		pool := scriptedUpstream(t, func(c net.Conn, _ string, _ int) {
			write(c, tc.response)
			if strings.Contains(tc.response, "Length: 1000") {
				write(c, strings.Repeat("x", 1000))
			}
		})
		r := request("1")
		r.Hold = func(n int) error {
			if n > 0 {
				return full
			}
			return nil
		}
		err := readAll(pool, r, tc.stream)
		assert.Check(t, errors.Is(err, ErrBroken) && strings.Contains(err.Error(), "full"), "%s: %v", name, err)
	}
}

func TestResponseWithinBoundsIsReadWhole(t *testing.T) {
	body := strings.Repeat("0123456789\n\n", 100_000)
	fields := strings.Repeat("A: "+strings.Repeat("v", 100)+"\r\n", maxHeadLines-5)
	for name, response := range map[string]string{
		"with a length":                 fmt.Sprintf("%s%sContent-Length: %d\r\n\r\n%s", head("1"), fields, len(body), body),
		"in chunks":                     fmt.Sprintf("%s%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", head("1"), fields, len(body), body),
		"without a length":              head("1") + fields + "\r\n" + body,
		"after a stale one":             fmt.Sprintf("HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 9\r\n\r\n\n\n\n\n\n\n\n\n\n%sContent-Length: %d\r\n\r\n%s", head("1"), len(body), body),
		"after an interim one":          fmt.Sprintf("HTTP/1.1 103 Early Hints\r\n\r\n%sContent-Length: %d\r\n\r\n%s", head("1"), len(body), body),
		"with lines that end in LF":     fmt.Sprintf("HTTP/1.1 200 OK\nId: 1\nContent-Length: %d\n\n%s", len(body), body),
		"with a long field and no more": fmt.Sprintf("%sA: %s\r\nContent-Length: %d\r\n\r\n%s", head("1"), strings.Repeat("v", 20<<10), len(body), body),
	} {
		t.Run(name, func(t *testing.T) {
			pool := scriptedUpstream(t, func(c net.Conn, _ string, _ int) {
				for text := response; text != ""; {
					n := min(len(text), 1+rand.IntN(5000))
					write(c, text[:n])
					text = text[n:]
				}
				_ = c.Close()
			})
			held := 0
			r := request("1")
			r.Hold = func(n int) error {
				held += n
				return nil
			}
			rs, err := pool.Send(t.Context(), r)
			assert.NilError(t, err)
			got, err := rs.Body(len(body))
			assert.NilError(t, err)
			assert.Assert(t, string(got) == body)
			rs.Close()
			assert.Equal(t, held, len(body))
		})
	}
}

// FuzzResponseReader checks that a head read in parts is the head as it was sent.
func FuzzResponseReader(f *testing.F) {
	f.Add("HTTP/1.1 200 OK\r\nA: b\r\n\r\nbody", 3)
	f.Add("HTTP/1.1 200 OK\n\nbody\n\nmore", 1)
	f.Add("\r\n\r\n\r\n", 7)
	f.Fuzz(func(t *testing.T, sent string, size int) {
		r := newResponseReader(strings.NewReader(sent))
		r.beginHead(func(int) error { return nil })
		got, err := io.ReadAll(bufio.NewReaderSize(r, 16+abs(size)%100))
		if err != nil {
			var tooLarge *TooLargeError
			assert.Assert(t, errors.As(err, &tooLarge), "%v", err)
			return
		}
		assert.Assert(t, bytes.Equal(got, []byte(sent)))
	})
}

func abs(n int) int {
	if n < 0 {
		return -(n + 1)
	}
	return n
}
