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
	// lossReportInterval is the interval at which lost lines are reported.
	lossReportInterval = time.Second
)

// AsyncWriter is a writer that never blocks and never fails. It buffers lines, and drops and counts
// those that arrive while the buffer is full. It also counts those that its output did not accept, as
// a pipe whose reader is gone.
type AsyncWriter struct {
	dropped atomic.Uint64
	failed  atomic.Uint64
	lines   chan []byte
	output  io.Writer
}

// NewAsyncWriter returns an AsyncWriter for output. Run does the writing.
func NewAsyncWriter(output io.Writer) *AsyncWriter {
	return &AsyncWriter{lines: make(chan []byte, bufferedLines), output: output}
}

// Dropped returns the number of dropped lines.
func (w *AsyncWriter) Dropped() uint64 { return w.dropped.Load() }

// Failed returns the number of lines that the output did not accept.
func (w *AsyncWriter) Failed() uint64 { return w.failed.Load() }

// Run writes lines until ctx ends, and then the lines that are still buffered.
func (w *AsyncWriter) Run(ctx context.Context) error {
	ticker := time.NewTicker(lossReportInterval)
	defer ticker.Stop()
	var dropped, failed uint64
	for {
		select {
		case line := <-w.lines:
			w.write(line)
		case <-ticker.C:
			dropped = w.report("log lines dropped", dropped, w.dropped.Load())
			failed = w.report("log lines not written", failed, w.failed.Load())
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
			w.write(line)
		default:
			return
		}
	}
}

// report writes how many lines were lost since the last report, and returns the number reported in
// total. A report that fails is repeated with the next one.
func (w *AsyncWriter) report(message string, reported, lost uint64) uint64 {
	if lost == reported {
		return reported
	}
	if _, err := fmt.Fprintf(w.output, "{\"level\":\"WARN\",\"msg\":%q,\"lines\":%d}\n", message, lost-reported); err != nil {
		return reported
	}
	return lost
}

// write writes one line, or counts it as failed: an error can't be logged, since this is the log.
func (w *AsyncWriter) write(line []byte) {
	if _, err := w.output.Write(line); err != nil {
		w.failed.Add(1)
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
