package cmd

import (
	"context"
	"log/slog"
	"os"
	"runtime/metrics"
	"time"
)

const (
	// memoryCheckInterval is the interval between two checks of the process's memory.
	memoryCheckInterval = time.Second
	// highMemoryShare is the share of the box's memory above which the process's memory is logged, and
	// lowMemoryShare the one below which it is logged as low again.
	highMemoryShare = 0.8
	lowMemoryShare  = 0.7
)

// logStart logs the start of a process.
func logStart(l *slog.Logger, role, settingsFile string) {
	l.Info("started", "role", role, "settings", settingsFile, "pid", os.Getpid())
}

// logEnd logs why a process ends: the signal, or the error of its work. A process that is killed logs
// nothing.
func logEnd(ctx context.Context, l *slog.Logger, role string, err error) {
	switch cause := context.Cause(ctx); {
	case err != nil:
		l.Error("stopped", "role", role, "cause", err.Error())
	case cause != nil:
		l.Info("stopped", "role", role, "cause", cause.Error())
	default:
		l.Error("stopped", "role", role, "cause", "its work ended")
	}
}

// watchMemory logs when the Go runtime's memory comes near the memory of the box, in MiB, until ctx
// ends. A process that the platform kills for its memory can't log that itself. With 0 it does nothing.
func watchMemory(ctx context.Context, l *slog.Logger, memoryMB int) {
	if memoryMB <= 0 {
		return
	}
	ticker := time.NewTicker(memoryCheckInterval)
	defer ticker.Stop()
	high := false
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		used := residentBytes()
		share := float64(used) / float64(memoryMB<<20)
		switch {
		case !high && share > highMemoryShare:
			high = true
			l.Warn("memory near its limit", "used_mb", used>>20, "memory_mb", memoryMB)
		case high && share < lowMemoryShare:
			high = false
			l.Info("memory below its limit again", "used_mb", used>>20, "memory_mb", memoryMB)
		}
	}
}

// residentBytes returns the memory that the Go runtime has and has not returned to the system. What the
// kernel holds for the process's connections is not in it.
func residentBytes() uint64 {
	samples := []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
	metrics.Read(samples)
	return samples[0].Value.Uint64() - samples[1].Value.Uint64()
}
