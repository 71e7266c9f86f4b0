package readbudget

import (
	"bytes"
	"io"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"
)

func TestReadAllBoundsMessage(t *testing.T) {
	for _, size := range []int{0, 1, 511, 512, 513, 100_000, 1 << 20} {
		want := bytes.Repeat([]byte("a"), size)
		for name, r := range map[string]io.Reader{"at once": bytes.NewReader(want), "byte by byte": iotest.OneByteReader(bytes.NewReader(want)), "with the end": iotest.DataErrReader(bytes.NewReader(want))} {
			got, err := ReadAll(r, int64(size))
			assert.NilError(t, err, "%d %s", size, name)
			assert.Assert(t, bytes.Equal(got, want), "%d %s", size, name)
		}
		if size > 0 {
			_, err := ReadAll(bytes.NewReader(want), int64(size)-1)
			assert.ErrorIs(t, err, ErrTooLarge)
		}
	}
	assert.Equal(t, held.Load(), int64(0))
}

func TestReadFullNeedsAllBytes(t *testing.T) {
	got, err := ReadFull(bytes.NewReader([]byte("abcd")), 3)
	assert.NilError(t, err)
	assert.Equal(t, string(got), "abc")
	_, err = ReadFull(bytes.NewReader([]byte("ab")), 3)
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
}

func TestAnnouncedLengthTakesNoMemory(t *testing.T) {
	r, w := io.Pipe()
	go func() { _, _ = ReadFull(r, 1<<30) }()
	_, err := w.Write([]byte("ab"))
	assert.NilError(t, err)
	assert.Equal(t, held.Load(), int64(0))
	assert.NilError(t, w.Close())
}

func TestManyLargeMessagesTogetherAreBounded(t *testing.T) {
	held.Store(totalBytes - 1<<20)
	defer held.Store(0)
	_, err := ReadAll(bytes.NewReader(make([]byte, 512<<10)), 8<<20)
	assert.NilError(t, err)
	_, err = ReadAll(bytes.NewReader(make([]byte, 4<<20)), 8<<20)
	assert.ErrorIs(t, err, ErrNoRoom)
	small, err := ReadAll(bytes.NewReader(make([]byte, 60_000)), 8<<20)
	assert.NilError(t, err)
	assert.Equal(t, len(small), 60_000)
	assert.Equal(t, held.Load(), int64(totalBytes-1<<20))
}
