package logging

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	// bufferedLines is the number of lines buffered for a slow reader of the log.
	bufferedLines = 2048
	// dropReportInterval is the interval at which dropped lines are reported.
	dropReportInterval = time.Second
)

// AsyncWriter is a writer that never blocks. It buffers lines, and drops and counts those that
// arrive while the buffer is full.
type AsyncWriter struct {
	dropped atomic.Uint64
	lines   chan []byte
	output  io.Writer
}

// NewAsyncWriter returns an AsyncWriter for output. Run does the writing.
func NewAsyncWriter(output io.Writer) *AsyncWriter {
	return &AsyncWriter{lines: make(chan []byte, bufferedLines), output: output}
}

// Dropped returns the number of dropped lines.
func (w *AsyncWriter) Dropped() uint64 { return w.dropped.Load() }

// Run writes lines until ctx ends, and then the lines that are still buffered.
func (w *AsyncWriter) Run(ctx context.Context) error {
	ticker := time.NewTicker(dropReportInterval)
	defer ticker.Stop()
	reported := uint64(0)
	for {
		select {
		case line := <-w.lines:
			_, _ = w.output.Write(line) // an error can't be logged: this is the log
		case <-ticker.C:
			if n := w.dropped.Load(); n > reported {
				fmt.Fprintf(w.output, "{\"level\":\"WARN\",\"msg\":\"log lines dropped\",\"lines\":%d}\n", n-reported)
				reported = n
			}
		case <-ctx.Done():
			w.flush()
			return nil
		}
	}
}

// flush writes the buffered lines.
func (w *AsyncWriter) flush() {
	for {
		select {
		case line := <-w.lines:
			_, _ = w.output.Write(line)
		default:
			return
		}
	}
}

// Write buffers one line, or drops it if the buffer is full. It never returns an error.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}
