// Package wire implements the protocol between entries and agents: JSON-RPC 2.0
// messages in length-prefixed frames over persistent TCP connections.
package wire

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"sync"
	"sync/atomic"

	"github.com/juju/errors"

	"sandbarrow.example/sandbarrow/internal/readbudget"
)

const (
	// MaxMessageBytes bounds one message in either direction.
	MaxMessageBytes = 16 << 20
	// maxPendingBytes is how much may be pending for a slow peer before writers block.
	maxPendingBytes = 4 << 20
	// maxSpareBytes is the largest buffer that is reused for later writes.
	maxSpareBytes   = 256 << 10
	lengthBytes     = 4
	readBufferBytes = 16 << 10
)

// Errors of a Stream.
const (
	// ErrClosed means that the stream was closed on this side.
	ErrClosed = errors.ConstError("wire: stream closed")
	// ErrMalformed means that the peer sent an invalid message.
	ErrMalformed = errors.ConstError("wire: malformed message")
)

// Stream carries JSON objects over a connection. The first writer also writes the
// messages that other writers add in the meantime. A single message is sent
// immediately, and many small ones share a system call.
type Stream struct {
	conn   net.Conn
	direct []directMethod
	reader *bufio.Reader
	// received and sent count the messages of which the length was read, or that were accepted to send.
	received, sent atomic.Uint64

	mu      sync.Mutex
	changed *sync.Cond
	err     error
	pending []byte
	spare   []byte
	writing bool
}

// NewStream returns a stream over a connection and takes ownership of the connection.
func NewStream(conn net.Conn) *Stream {
	return NewStreamSize(conn, readBufferBytes)
}

// NewStreamSize returns a stream with a read buffer of bufferBytes bytes, for processes
// with many connections.
func NewStreamSize(conn net.Conn, bufferBytes int) *Stream {
	s := &Stream{conn: conn, reader: bufio.NewReaderSize(conn, bufferBytes)}
	s.changed = sync.NewCond(&s.mu)
	return s
}

// Close closes the connection and drops pending messages.
func (s *Stream) Close() error {
	s.fail(ErrClosed)
	return s.conn.Close()
}

// Received returns the number of messages that have arrived.
func (s *Stream) Received() uint64 { return s.received.Load() }

// Sent returns the number of messages that were accepted to send.
func (s *Stream) Sent() uint64 { return s.sent.Load() }

// ReadObject reads the next message that is not served directly into v.
func (s *Stream) ReadObject(v any) error {
	for {
		n, err := s.readLength()
		if err != nil {
			return err
		}
		if !s.serveDirect(n) {
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
	s.received.Add(1)
	return int(n), nil
}

// readBody reads a message of n bytes into v.
func (s *Stream) readBody(n int, v any) error {
	body, err := readbudget.ReadFull(s.reader, n)
	if err != nil {
		return errors.Annotatef(ErrMalformed, "cut within %d bytes: %v", n, err)
	}
	if err := unmarshal(body, v); err != nil {
		return errors.Annotate(ErrMalformed, err.Error())
	}
	return nil
}

// WriteObject sends a message. It blocks while too much is pending. An error means
// that no part of the message was sent. If the connection fails later, only its
// reader returns an error.
func (s *Stream) WriteObject(v any) error {
	body, err := marshal(v)
	if err != nil {
		return errors.Trace(err)
	}
	return s.Send(body)
}

// Send sends an encoded message in the same way as WriteObject.
func (s *Stream) Send(body []byte) error {
	if len(body) > MaxMessageBytes {
		return errors.Errorf("wire: message of %d bytes exceeds %d bytes", len(body), MaxMessageBytes)
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
	s.sent.Add(1)
	if !s.writing {
		s.flush()
	}
	return nil
}

// flush writes until nothing is pending. The caller holds mu, which flush releases during writes.
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

// marshal encodes v. It avoids the second pass that json.Marshal makes over the
// output of a Marshaler.
func marshal(v any) ([]byte, error) {
	if m, ok := v.(json.Marshaler); ok {
		return m.MarshalJSON()
	}
	return json.Marshal(v)
}

// unmarshal decodes into v. It avoids the validation pass that json.Unmarshal makes
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
