// Package readbudget bounds what a process holds of messages that it is reading from its store, its
// engine and other processes. Each message has a bound of its own; together they could still exceed the
// memory of a small box. It owns one count of bytes for the whole process, and its callers release what
// they have counted.
package readbudget

import (
	"io"
	"sync/atomic"

	"github.com/juju/errors"
)

const (
	// freeBytes is the part of each message that is not counted.
	freeBytes = 64 << 10
	// totalBytes bounds what all messages hold beyond that. It is a tenth of the smallest box: the garbage collector lets the heap grow to some times that.
	totalBytes = 16 << 20
	// unknownBytes and announcedBytes are the memory of a message at first, by whether its length is known.
	unknownBytes   = 512
	announcedBytes = 4 << 10
)

// The errors of a message that is not read to its end.
const (
	// ErrNoRoom means that the process holds too much of other messages.
	ErrNoRoom = errors.ConstError("readbudget: no room for the message")
	// ErrTooLarge means that the message exceeds its own bound.
	ErrTooLarge = errors.ConstError("readbudget: message too large")
)

// held is what all messages that are being read hold beyond their free bytes.
var held atomic.Int64

// ReadAll reads a message to its end. It returns ErrTooLarge if the message exceeds limit bytes. If the
// message breaks off, it returns what has arrived and the error.
func ReadAll(r io.Reader, limit int64) ([]byte, error) {
	body, err := read(r, limit+1, unknownBytes)
	if int64(len(body)) > limit {
		return nil, errors.Annotatef(ErrTooLarge, "over %d bytes", limit)
	}
	if err == io.EOF {
		err = nil
	}
	return body, err
}

// ReadFull reads a message of n bytes. The message's memory grows with what arrives, whatever length
// its sender has announced.
func ReadFull(r io.Reader, n int) ([]byte, error) {
	body, err := read(r, int64(n), announcedBytes)
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	return body, err
}

// read reads up to limit bytes into memory of first bytes, which grows as it is filled. The error is nil
// if it has read as many as limit.
func read(r io.Reader, limit, first int64) ([]byte, error) {
	var body []byte
	counted := int64(0)
	defer func() { held.Add(-counted) }()
	for int64(len(body)) < limit {
		if len(body) == cap(body) {
			grown := min(limit, max(first, 2*int64(cap(body))))
			more := max(0, grown-freeBytes) - counted
			if more > 0 && held.Add(more) > totalBytes {
				held.Add(-more)
				return nil, errors.Annotatef(ErrNoRoom, "%d bytes read", len(body))
			}
			counted += max(0, more)
			body = append(make([]byte, 0, grown), body...)
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err != nil {
			return body, err
		}
	}
	return body, nil
}
