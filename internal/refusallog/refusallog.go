// Package refusallog logs values of other writers that can't be used. It bounds the lines and their length,
// since such a value may change all the time and may hold anything.
package refusallog

import (
	"log/slog"
	"strings"
	"sync"
	"time"

	"sandbarrow.example/sandbarrow/internal/boottime"
)

const (
	// interval is the time in which a key is logged once.
	interval = time.Minute
	// maxKeys bounds the keys that are logged in an interval.
	maxKeys = 500
	// maxTextBytes bounds a text of another writer in a line.
	maxTextBytes = 300
)

// Log logs each key once in an interval. It is safe for concurrent use.
type Log struct {
	logger *slog.Logger
	now    func() time.Time

	mu     sync.Mutex
	began  time.Time
	logged map[string]bool
}

// New returns a Log that writes to logger.
func New(logger *slog.Logger) *Log {
	return &Log{logger: logger, logged: map[string]bool{}, now: boottime.Now}
}

// Clip returns the beginning of a text that another writer may have written.
func Clip(text string) string {
	if len(text) <= maxTextBytes {
		return text
	}
	return strings.ToValidUTF8(text[:maxTextBytes], "") + "..."
}

// Warn logs that the value of a key was refused, unless the key was logged in this interval.
func (l *Log) Warn(message, key string, cause error, arguments ...any) {
	if l.isDue(key) {
		l.logger.Warn(message, append([]any{"key", Clip(key), "error", Clip(cause.Error())}, arguments...)...)
	}
}

// isDue reports whether a key is to be logged now.
func (l *Log) isDue(key string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := l.now(); now.Sub(l.began) >= interval {
		l.began = now
		clear(l.logged)
	}
	if l.logged[key] || len(l.logged) >= maxKeys {
		return false
	}
	l.logged[key] = true
	return true
}
