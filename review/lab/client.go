//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// request is a request of a client.
type request struct {
	id, method, path, body string
	deadline               time.Duration
	header                 map[string]string
}

// text returns the request as it is sent.
func (q *request) text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: lab.example\r\nX-Sandbarrow-Request-Id: %s\r\nX-Sandbarrow-Deadline-Ms: %d\r\n", q.method, q.path, q.id, q.deadline.Milliseconds())
	for name, value := range q.header {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	if q.method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.body))
	}
	return b.String() + "\r\n" + q.body
}

// answer is what a client got.
type answer struct {
	status int
	stamp  string
	body   string
	// events holds the ids of the events in the order in which they came; whole is set if the response
	// ended as complete.
	events []int
	whole  bool
	err    error
	took   time.Duration
}

// send sends a request on a new connection and reads the answer. It leaves after some events, unless
// leaveAfter is 0.
func (l *lab) send(address string, q *request, leaveAfter int) (a answer) {
	began := time.Now()
	defer func() { a.took = time.Since(began) }()
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(q.deadline))
	if _, err := io.WriteString(conn, q.text()); err != nil {
		return answer{err: err}
	}
	return readAnswer(bufio.NewReader(conn), q, leaveAfter)
}

func readAnswer(reader *bufio.Reader, q *request, leaveAfter int) (a answer) {
	response, err := http.ReadResponse(reader, &http.Request{Method: q.method})
	if err != nil {
		return answer{err: err}
	}
	// The body is not closed, as that would read it to its end; the connection is.
	a.status, a.stamp = response.StatusCode, response.Header.Get("X-Sandbarrow-Server-Stamp")
	if !strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		text, err := io.ReadAll(response.Body)
		a.body, a.whole, a.err = string(text), err == nil, err
		return a
	}
	lines := bufio.NewReader(response.Body)
	for {
		line, err := lines.ReadString('\n')
		if err == io.EOF {
			a.whole = true
			return a
		}
		if err != nil {
			a.err = err
			return a
		}
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			n, _ := strconv.Atoi(strings.TrimSpace(id))
			a.events = append(a.events, n)
		}
		if strings.TrimSpace(line) == "" && leaveAfter > 0 && len(a.events) >= leaveAfter {
			return a
		}
	}
}
