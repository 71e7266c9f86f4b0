package forward

import (
	"bufio"
	"io"
)

const (
	// maxHeadBytes and maxHeadLines bound the head of a response. Lines are bounded too, since a short
	// one takes many times its size once it is parsed.
	maxHeadBytes = 32 << 10
	maxHeadLines = 256
	// freeBytes is the part of a head or an event that is held without asking: it is about the size of
	// a connection's buffers.
	freeBytes = 4 << 10
	// headHoldFactor is what a byte of a head takes once it is parsed.
	headHoldFactor = 2
	// UncountedBytes is what a response holds without asking: three buffers, the beginning of its head
	// and that of an event.
	UncountedBytes = 3*readBufferBytes + (headHoldFactor+1)*freeBytes
)

// responseReader reads the bytes that an upstream sends on a connection. Within a head it stops at the
// head's end, counts what it reads, and fails beyond the bounds; the rest it passes on unchanged.
type responseReader struct {
	buffer *bufio.Reader
	source io.Reader

	// inHead is set within a head, of which bytes and lines have been read. hold counts memory for it.
	inHead       bool
	bytes, lines int
	hold         func(bytes int) error
	// unread is the part of the head in buffer that has been counted but not returned.
	unread []byte
	// partial is set within a line.
	partial bool
}

func newResponseReader(source io.Reader) *responseReader {
	return &responseReader{buffer: bufio.NewReaderSize(source, readBufferBytes), source: source}
}

// beginHead makes the reader read a head. hold is called before more than freeBytes of it are held.
func (r *responseReader) beginHead(hold func(bytes int) error) {
	r.inHead, r.hold = true, hold
	r.bytes, r.lines, r.partial = 0, 0, false
}

// Read reads into p. Within a head it returns no byte that follows the head.
func (r *responseReader) Read(p []byte) (int, error) {
	if len(r.unread) == 0 && r.inHead {
		if err := r.readLine(); err != nil {
			return 0, err
		}
	}
	switch {
	case len(r.unread) > 0:
		n := copy(p, r.unread)
		r.unread = r.unread[n:]
		return n, nil
	case r.buffer.Buffered() > 0:
		return r.buffer.Read(p)
	}
	return r.source.Read(p)
}

// endHead ends a head of which a part was received with the body of the response before it.
func (r *responseReader) endHead() { r.inHead = false }

// readLine reads a line of the head into unread, or as much of it as fits into the buffer.
func (r *responseReader) readLine() error {
	line, err := r.buffer.ReadSlice('\n')
	if len(line) == 0 {
		return err
	}
	begins, ends := !r.partial, line[len(line)-1] == '\n'
	r.partial = !ends
	if err := r.count(len(line), ends); err != nil {
		return err
	}
	r.unread = line
	blank := begins && ends && (len(line) == 1 || len(line) == 2 && line[0] == '\r')
	r.inHead = !blank || r.lines == 1
	return nil
}

// count counts bytes of the head, and asks for the memory that they take.
func (r *responseReader) count(bytes int, ends bool) error {
	before := max(freeBytes, r.bytes)
	r.bytes += bytes
	if ends {
		r.lines++
	}
	switch {
	case r.bytes > maxHeadBytes:
		return &TooLargeError{Part: PartHead, Limit: maxHeadBytes, Unit: "bytes"}
	case r.lines > maxHeadLines:
		return &TooLargeError{Part: PartHead, Limit: maxHeadLines, Unit: "lines"}
	case r.bytes > before:
		return r.hold(headHoldFactor * (r.bytes - before))
	}
	return nil
}
