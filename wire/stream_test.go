package wire

import (
	"bytes"
	"encoding/binary"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"
)

// framed returns a message in its encoding on the connection.
func framed(body string) []byte {
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(body))), body...)
}

func readFrom(raw []byte) (Frame, error) {
	near, far := net.Pipe()
	go func() {
		_, _ = far.Write(raw)
		_ = far.Close()
	}()
	s := NewStream(near)
	defer s.Close()
	var f Frame
	return f, s.ReadObject(&f)
}

func TestReadObjectRejectsMalformedMessages(t *testing.T) {
	for name, tc := range map[string]struct {
		raw  []byte
		want error
	}{
		"complete":  {framed(`{"h":1,"n":2,"d":"aGk="}`), nil},
		"cut":       {framed(`{"h":1}`)[:6], ErrMalformed},
		"empty":     {framed(""), ErrMalformed},
		"not JSON":  {framed("{"), ErrMalformed},
		"too large": {[]byte{0xff, 0xff, 0xff, 0xff}, ErrMalformed},
		"closed":    {nil, io.EOF},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := readFrom(tc.raw)
			assert.Assert(t, errors.Is(err, tc.want), "%v", err)
		})
	}
}

func TestConcurrentWritersDoNotInterleaveMessages(t *testing.T) {
	near, far := net.Pipe()
	out, in := NewStream(near), NewStream(far)
	const writers, each = 8, 50
	var wg sync.WaitGroup
	for w := range writers {
		wg.Go(func() {
			for i := range each {
				assert.Check(t, out.WriteObject(Frame{Handle: uint64(w), Sequence: i, Data: bytes.Repeat([]byte{byte(w)}, 100*i)}))
			}
		})
	}
	next := map[uint64]int{}
	for range writers * each {
		var f Frame
		assert.NilError(t, in.ReadObject(&f))
		assert.Equal(t, f.Sequence, next[f.Handle])
		assert.Equal(t, len(f.Data), 100*f.Sequence)
		next[f.Handle]++
	}
	wg.Wait()
}

func TestCloseWakesBlockedWriters(t *testing.T) {
	near, _ := net.Pipe() // nobody reads the other end
	s := NewStream(near)
	done := make(chan error)
	for range 2 {
		go func() {
			var err error
			for err == nil {
				err = s.WriteObject(Frame{Data: make([]byte, 1<<20)})
			}
			done <- err
		}()
	}
	time.Sleep(50 * time.Millisecond)
	_ = s.Close()
	for range 2 {
		assert.Assert(t, errors.Is(<-done, ErrClosed))
	}
}

func FuzzReadObject(f *testing.F) {
	f.Add(framed(`{"h":1,"n":2,"d":"aGk="}`))
	f.Add([]byte{0, 0, 0, 1, '{'})
	f.Fuzz(func(_ *testing.T, raw []byte) {
		if len(raw) > 1<<16 {
			return
		}
		_, _ = readFrom(raw)
	})
}
