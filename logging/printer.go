package logging

import (
	"fmt"
	"log/slog"
	"strings"
)

// Printer writes the log lines of a library to a structured logger. It uses debug level because
// the callers of the library log the important events themselves.
type Printer struct {
	logger *slog.Logger
	source string
}

// NewPrinter returns a Printer that adds the name of the library to each line.
func NewPrinter(l *slog.Logger, source string) Printer {
	return Printer{logger: l, source: source}
}

// Printf logs one line.
func (p Printer) Printf(format string, v ...any) {
	p.logger.Debug("library", "source", p.source, "line", strings.TrimSpace(fmt.Sprintf(format, v...)))
}
