// Package explain tells the story of one request from the logs of any number of
// processes: its own lines, and what its deciders learnt meanwhile. It owns nothing and relies on
// the names of log lines and of their attributes; the command explain uses it.
package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"time"

	"github.com/juju/errors"
)

// maxLineBytes bounds one line of a log.
const maxLineBytes = 1 << 20

// The messages about requests.
const (
	messageAttempt = "attempt"
	messageRequest = "request"
)

// Line is one structured line of a process.
type Line struct {
	Box     string    `json:"box"`
	Level   string    `json:"level"`
	Message string    `json:"msg"`
	Time    time.Time `json:"time"`

	// The attributes by which lines belong together; empty where a line has none.
	Adapter  string `json:"adapter,omitempty"`
	Reason   string `json:"reason,omitempty"`
	Request  string `json:"request,omitempty"`
	TookMS   int64  `json:"took_ms,omitempty"`
	Upstream string `json:"upstream,omitempty"`
	Instance string `json:"instance,omitempty"`

	// Text is the line as it was written.
	Text json.RawMessage `json:"-"`
}

// Read reads the lines of one log in their order. What stands before the object
// of a line is passed over, and so are lines that hold none.
func Read(r io.Reader) ([]Line, error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	var lines []Line
	for scanner.Scan() {
		start := bytes.IndexByte(scanner.Bytes(), '{')
		if start < 0 {
			continue
		}
		text := bytes.Clone(scanner.Bytes()[start:])
		var l Line
		if json.Unmarshal(text, &l) != nil || l.Message == "" {
			continue
		}
		l.Text = text
		lines = append(lines, l)
	}
	return lines, errors.Annotate(scanner.Err(), "log")
}
