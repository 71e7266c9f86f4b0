package forward

import (
	"bufio"
	"bytes"
	"io"
	"strings"
	"sync"

	"github.com/juju/errors"
)

const (
	// chunkBytes is the size of the chunks in which a body is read.
	chunkBytes = 4 << 10
	// BodyHoldFactor is what a byte of a body takes while its chunks are joined.
	BodyHoldFactor = 2
	// maxHoldBytes is how many bytes of a body with a length are held before they have arrived.
	maxHoldBytes = 256 << 10
	// maxEventBytes bounds the size of one event of a stream.
	maxEventBytes = 1 << 20
	// maxStreamBytes bounds all events of a stream together.
	maxStreamBytes = 64 << 20
)

// chunks are buffers for bodies. Bodies without end would otherwise leave garbage as fast as they come.
var chunks = sync.Pool{New: func() any { return new([chunkBytes]byte) }}

// Body reads the complete body, which must not exceed limit bytes. Its bytes are counted by the
// request's Hold before they are read, and remain counted if there is no error.
func (rs *UpstreamResponse) Body(limit int) ([]byte, error) {
	b := &bodyReader{limit: limit, response: rs}
	defer b.free()
	if err := b.read(); err != nil {
		rs.release(b.held)
		return nil, broken(err)
	}
	body := b.join()
	rs.release(b.held - len(body))
	rs.complete = true
	return body, nil
}

// bodyReader reads a body in chunks.
type bodyReader struct {
	chunks []*[chunkBytes]byte
	// held counts the bytes that the response's Hold has counted.
	held     int
	limit    int
	response *UpstreamResponse
	size     int
}

// free returns the chunks.
func (b *bodyReader) free() {
	for _, chunk := range b.chunks {
		chunks.Put(chunk)
	}
	b.chunks = nil
}

// hold counts what the next chunk takes, or up to maxHoldBytes of a body whose length is known.
func (b *bodyReader) hold() error {
	more := BodyHoldFactor*(b.size+chunkBytes) - b.held
	if more <= 0 {
		return nil
	}
	if left := b.response.resp.ContentLength - int64(b.size); left > chunkBytes {
		more = BodyHoldFactor * int(min(left, maxHoldBytes))
	}
	if err := b.response.hold(more); err != nil {
		return err
	}
	b.held += more
	return nil
}

// join returns the body.
func (b *bodyReader) join() []byte {
	if b.size == 0 {
		return nil
	}
	body := make([]byte, 0, b.size)
	for _, chunk := range b.chunks {
		body = append(body, chunk[:min(chunkBytes, b.size-len(body))]...)
	}
	return body
}

// read reads the body to its end.
func (b *bodyReader) read() error {
	for {
		if _, err := b.response.body.Peek(1); err != nil {
			if err == io.EOF {
				return nil
			}
			return err
		}
		if b.size >= b.limit || b.response.resp.ContentLength > int64(b.limit) {
			return &TooLargeError{Limit: int64(b.limit), Part: PartBody, Unit: "bytes"}
		}
		filled := b.size % chunkBytes
		if filled == 0 {
			if err := b.hold(); err != nil {
				return err
			}
			b.chunks = append(b.chunks, chunks.Get().(*[chunkBytes]byte))
		}
		n, err := b.response.body.Read(b.chunks[len(b.chunks)-1][filled:])
		if err != nil {
			return err
		}
		b.size += n
	}
}

// Event reads one complete event of a stream, including the empty line at its end. It returns
// io.EOF when the stream is complete. The event counts as held until the next call or Close.
func (rs *UpstreamResponse) Event() ([]byte, error) {
	rs.releaseEvent()
	var event []byte
	for {
		line, err := rs.body.ReadSlice('\n')
		if holdErr := rs.holdEvent(len(event) + len(line)); holdErr != nil {
			return nil, broken(holdErr)
		}
		event = append(event, line...)
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err == io.EOF && len(event) == 0 {
			rs.complete = true
			return nil, io.EOF
		}
		if err != nil {
			return nil, errors.Annotatef(ErrBroken, "event truncated after %d bytes: %v", len(event), err)
		}
		if end := strings.TrimRight(string(line), "\r\n"); end == "" && len(event) > len(line) {
			rs.streamBytes += len(event)
			return event, nil
		}
	}
}

// holdEvent counts an event of which so many bytes are held.
func (rs *UpstreamResponse) holdEvent(bytes int) error {
	switch {
	case bytes > maxEventBytes:
		return &TooLargeError{Limit: maxEventBytes, Part: PartEvent, Unit: "bytes"}
	case rs.streamBytes+bytes > maxStreamBytes:
		return &TooLargeError{Limit: maxStreamBytes, Part: PartStream, Unit: "bytes"}
	case bytes <= freeBytes+rs.heldEvent:
		return nil
	}
	more := bytes - freeBytes - rs.heldEvent
	if err := rs.hold(more); err != nil {
		return err
	}
	rs.heldEvent += more
	return nil
}

// releaseEvent releases what the last event held.
func (rs *UpstreamResponse) releaseEvent() {
	rs.release(rs.heldEvent)
	rs.heldEvent = 0
}

// EndsWithEvent reports whether a stream that has been read completely ends with a complete event, or
// is empty. One that ends within an event has been broken off, whatever its framing says.
func EndsWithEvent(stream []byte) bool {
	for _, end := range []string{"\n\n", "\r\n\r\n", "\n\r\n"} {
		if bytes.HasSuffix(stream, []byte(end)) {
			return true
		}
	}
	return len(stream) == 0
}

// EventID returns the ID of an event, or "" if it has none.
func EventID(event []byte) string {
	for line := range bytes.Lines(event) {
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(id))
		}
	}
	return ""
}
