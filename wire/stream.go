// Package wire holds the protocol between entries and agents: JSON-RPC 2.0
// messages in length-prefixed frames over one kept TCP connection per pair.
package wire

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"sync"

	"github.com/juju/errors"
)

const (
	// MaxMessageBytes bounds one message in either direction.
	MaxMessageBytes = 16 << 20
	// maxPendingBytes is how much may wait for a slow peer before writers block.
	maxPendingBytes = 4 << 20
	// maxSpareBytes is the largest buffer that is kept for the next writes.
	maxSpareBytes   = 256 << 10
	lengthBytes     = 4
	readBufferBytes = 16 << 10
)

// The errors of a Stream.
const (
	// ErrClosed means that the stream was closed on this side.
	ErrClosed = errors.ConstError("wire: stream closed")
	// ErrMalformed means that the peer sent what is no message.
	ErrMalformed = errors.ConstError("wire: malformed message")
)

// Stream carries JSON objects over a connection. The first writer writes for
// itself and for those that come meanwhile, so that a lone message goes out at
// once and many small ones share a system call.
type Stream struct {
	conn   net.Conn
	direct []directMethod
	reader *bufio.Reader

	mu      sync.Mutex
	changed *sync.Cond
	err     error
	pending []byte
	spare   []byte
	writing bool
}

// NewStream returns a stream over a connection, which it then owns.
func NewStream(conn net.Conn) *Stream {
	return NewStreamSize(conn, readBufferBytes)
}

// NewStreamSize returns a stream that reads into a buffer of so many bytes, for processes
// that keep many connections.
func NewStreamSize(conn net.Conn, bufferBytes int) *Stream {
	s := &Stream{conn: conn, reader: bufio.NewReaderSize(conn, bufferBytes)}
	s.changed = sync.NewCond(&s.mu)
	return s
}

// Close closes the connection and drops what is pending.
func (s *Stream) Close() error {
	s.fail(ErrClosed)
	return s.conn.Close()
}

// ReadObject reads the next message that is not served directly into v.
func (s *Stream) ReadObject(v any) error {
	for {
		n, err := s.readLength()
		if err != nil {
			return err
		}
		if !s.served(n) {
			return s.readBody(n, v)
		}
	}
}

// readLength reads the length of the next message, in bytes.
func (s *Stream) readLength() (int, error) {
	var prefix [lengthBytes]byte
	if _, err := io.ReadFull(s.reader, prefix[:]); err != nil {
		return 0, err
	}
	n := binary.BigEndian.Uint32(prefix[:])
	if n == 0 || n > MaxMessageBytes {
		return 0, errors.Annotatef(ErrMalformed, "length %d", n)
	}
	return int(n), nil
}

// readBody reads a message of n bytes into v.
func (s *Stream) readBody(n int, v any) error {
	body := make([]byte, n)
	if _, err := io.ReadFull(s.reader, body); err != nil {
		return errors.Annotatef(ErrMalformed, "cut after %d bytes: %v", n, err)
	}
	if err := unmarshal(body, v); err != nil {
		return errors.Annotate(ErrMalformed, err.Error())
	}
	return nil
}

// WriteObject sends a message. It blocks while too much is pending. An error
// means that nothing of the message was sent; a connection that breaks later
// shows at its reader.
func (s *Stream) WriteObject(v any) error {
	body, err := marshal(v)
	if err != nil {
		return errors.Trace(err)
	}
	return s.Send(body)
}

// Send sends an encoded message, as WriteObject does.
func (s *Stream) Send(body []byte) error {
	if len(body) > MaxMessageBytes {
		return errors.Errorf("wire: message of %d bytes is over %d", len(body), MaxMessageBytes)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.err == nil && len(s.pending) > maxPendingBytes {
		s.changed.Wait()
	}
	if s.err != nil {
		return s.err
	}
	s.pending = binary.BigEndian.AppendUint32(s.pending, uint32(len(body)))
	s.pending = append(s.pending, body...)
	if !s.writing {
		s.flush()
	}
	return nil
}

// flush writes until nothing is pending. The caller holds mu.
func (s *Stream) flush() {
	s.writing = true
	for s.err == nil && len(s.pending) > 0 {
		batch := s.pending
		s.pending = s.spare[:0]
		s.mu.Unlock()
		_, err := s.conn.Write(batch)
		s.mu.Lock()
		if cap(batch) <= maxSpareBytes {
			s.spare = batch
		}
		if err != nil && s.err == nil {
			s.err = err
			_ = s.conn.Close()
		}
		s.changed.Broadcast()
	}
	s.writing = false
}

// marshal encodes v without the second pass that json.Marshal makes over what
// a Marshaler returns.
func marshal(v any) ([]byte, error) {
	if m, ok := v.(json.Marshaler); ok {
		return m.MarshalJSON()
	}
	return json.Marshal(v)
}

// unmarshal decodes into v without the first pass that json.Unmarshal makes
// before it calls an Unmarshaler.
func unmarshal(body []byte, v any) error {
	if u, ok := v.(json.Unmarshaler); ok {
		return u.UnmarshalJSON(body)
	}
	return json.Unmarshal(body, v)
}

func (s *Stream) fail(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err == nil {
		s.err = err
	}
	s.changed.Broadcast()
}
