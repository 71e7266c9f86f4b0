// Package explain builds the timeline of one request from the logs of any number of processes. The
// timeline consists of the request's own lines and of state changes that the processes which
// handled it logged at that time. The package owns no state and depends on the messages and
// attribute names of log lines. The command explain uses it.
package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"time"

	"github.com/juju/errors"
)

// maxLineBytes is the maximum length of a log line.
const maxLineBytes = 1 << 20

// The messages about requests.
const (
	messageAttempt = "attempt"
	messageRequest = "request"
)

// Line is one structured log line of a process.
type Line struct {
	Box     string    `json:"box"`
	Level   string    `json:"level"`
	Message string    `json:"msg"`
	Time    time.Time `json:"time"`

	// The attributes that relate lines to each other. They are empty if a line has none.
	Adapter  string `json:"adapter,omitempty"`
	Reason   string `json:"reason,omitempty"`
	Request  string `json:"request,omitempty"`
	TookMS   int64  `json:"took_ms,omitempty"`
	Upstream string `json:"upstream,omitempty"`
	Instance string `json:"instance,omitempty"`

	// Text is the unparsed JSON object.
	Text json.RawMessage `json:"-"`
}

// Read parses the lines of one log in order. It ignores any prefix before the JSON object of a
// line, and skips lines without such an object.
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
