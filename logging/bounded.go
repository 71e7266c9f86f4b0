package logging

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	// boundedLines is how many lines wait for a slow reader.
	boundedLines = 2048
	// lossPause is how often lost lines are reported.
	lossPause = time.Second
)

// Bounded is a writer that never blocks: lines wait in a buffer, and those
// that find it full are dropped and counted.
type Bounded struct {
	dropped atomic.Uint64
	lines   chan []byte
	under   io.Writer
}

// NewBounded returns a writer over another; Run does the writing.
func NewBounded(under io.Writer) *Bounded {
	return &Bounded{lines: make(chan []byte, boundedLines), under: under}
}

// Dropped counts the lines that were lost.
func (b *Bounded) Dropped() uint64 { return b.dropped.Load() }

// Run writes lines until ctx ends, then what waits.
func (b *Bounded) Run(ctx context.Context) error {
	ticker := time.NewTicker(lossPause)
	defer ticker.Stop()
	reported := uint64(0)
	for {
		select {
		case line := <-b.lines:
			_, _ = b.under.Write(line) // there is nowhere to report it
		case <-ticker.C:
			if n := b.dropped.Load(); n > reported {
				fmt.Fprintf(b.under, "{\"level\":\"WARN\",\"msg\":\"log lines dropped\",\"lines\":%d}\n", n-reported)
				reported = n
			}
		case <-ctx.Done():
			b.drain()
			return nil
		}
	}
}

func (b *Bounded) drain() {
	for {
		select {
		case line := <-b.lines:
			_, _ = b.under.Write(line)
		default:
			return
		}
	}
}

// Write takes one line.
func (b *Bounded) Write(line []byte) (int, error) {
	select {
	case b.lines <- append([]byte(nil), line...):
	default:
		b.dropped.Add(1)
	}
	return len(line), nil
}
