package explain

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"
)

// ErrRequestNotFound means that no log line belongs to the request.
const ErrRequestNotFound = errors.ConstError("explain: no line tells of this request")

// contextBefore is the time before the start of a request from which state changes are included
// in its timeline.
const contextBefore = 3 * time.Second

// Event is one line of a timeline.
type Event struct {
	// Offset is the time since the start of the request. It is negative before the start.
	Offset time.Duration `json:"at_ns"`
	Line   Line          `json:"line"`
	// Own distinguishes the request's own lines from state changes of processes.
	Own bool `json:"own"`
}

// Timeline lists the log events that concern one request.
type Timeline struct {
	Cause   string  `json:"cause"`
	Events  []Event `json:"events"`
	Request string  `json:"request"`
}

// BuildTimeline builds the timeline of a request. Each log holds the lines of one process in
// order. skew is the maximum difference between the clocks of boxes.
func BuildTimeline(logs [][]Line, request string, skew time.Duration) (*Timeline, error) {
	var own []Line
	for _, lines := range logs {
		for _, l := range lines {
			if l.Request == request {
				own = append(own, l)
			}
		}
	}
	if len(own) == 0 {
		return nil, errors.Annotatef(ErrRequestNotFound, "%q", request)
	}
	s := scopeOf(own)
	timeline := &Timeline{Cause: causeOf(own), Request: request}
	for _, lines := range logs {
		for i := range lines {
			if l := &lines[i]; l.Request == request || s.includes(l, skew) {
				timeline.Events = append(timeline.Events, Event{Offset: l.Time.Sub(s.start), Line: *l, Own: l.Request == request})
			}
		}
	}
	slices.SortStableFunc(timeline.Events, func(a, b Event) int { return cmp.Compare(a.Offset, b.Offset) })
	return timeline, nil
}

// scope holds the adapter, time span, boxes and upstreams of a request. It selects the lines that
// belong in the timeline in addition to the request's own.
type scope struct {
	adapter    string
	start, end time.Time
	boxes      map[string]bool
	upstreams  map[string]bool
}

// scopeOf returns the scope of a request with the given lines.
func scopeOf(own []Line) scope {
	s := scope{boxes: map[string]bool{}, upstreams: map[string]bool{}}
	for _, l := range own {
		s.boxes[l.Box] = true
		s.adapter = cmp.Or(l.Adapter, s.adapter)
		if l.Upstream != "" {
			s.upstreams[l.Upstream] = true
		}
		if l.Message != messageRequest {
			continue
		}
		s.end = l.Time
		s.start = l.Time.Add(-time.Duration(l.TookMS) * time.Millisecond)
	}
	if s.end.IsZero() { // the final line is missing: it was dropped, or the process exited first
		s.start, s.end = own[0].Time, own[len(own)-1].Time
	}
	return s
}

// stateChanges are the messages that report a change of a process's state or of its view of other
// processes. None of them belongs to a request.
var stateChanges = map[string]bool{
	"adapter version named": true, "base model loaded": true, "base model version named": true, "configuration in force": true, "controller linked": true, "controller lost": true,
	"engine identified": true, "engine draining": true, "engine lost": true, "engine regained": true, "engine restarted": true,
	"fencing token": true, "gateway stops": true, "limits have leaders again": true, "limits without leaders": true, "started": true, "stopped": true, "store lost": true, "store regained": true,
	"upstream listed": true, "upstream no longer listed": true, "upstreams learnt from a peer": true,
}

// includes reports whether a line belongs in the timeline although it is not the request's own. Such
// a line reports a state change in a process that handled the request or an event of the request's
// adapter or upstreams.
func (s *scope) includes(l *Line, skew time.Duration) bool {
	if l.Time.Before(s.start.Add(-contextBefore-skew)) || l.Time.After(s.end.Add(skew)) || l.Request != "" {
		return false
	}
	switch {
	case l.Upstream != "":
		return s.upstreams[l.Upstream] && s.boxes[l.Box]
	case l.Adapter != "":
		return l.Adapter == s.adapter
	case s.boxes[l.Box]:
		return stateChanges[l.Message]
	}
	return s.upstreams[l.Instance] && stateChanges[l.Message]
}

// causes describes each reason for the end of a request.
var causes = map[string]string{
	"":                    "served, or failed with the upstream's own error response",
	"bad-request":         "the request itself was malformed",
	"body-stalled":        "the request's body did not arrive by its deadline",
	"broken":              "an upstream broke off its response, and the request could not be retried on another",
	"caller-left":         "the caller disconnected before its response was complete",
	"caller-stalled":      "the caller read nothing of its response for too long and was disconnected",
	"deadline":            "the deadline of the caller or the timeout of the route expired",
	"memory":              "the gateway held too many bytes for other requests, so it was refused at once",
	"no-configuration":    "the gateway had no configuration or no list of upstreams yet",
	"no-route":            "no route of the configuration in force matched",
	"no-slot":             "no engine that was asked had a slot for the adapter in time",
	"no-upstream":         "no upstream of the service was known, or none could be reached",
	"retry-budget":        "a retry was needed, but the retry budget was used up",
	"stopping":            "the gateway was stopping, and the stream might not have ended in time",
	"too-large":           "the request was larger than the operators allow",
	"upstreams-contended": "each upstream that could serve it was contended, and none could end it in its caller's time, or more was asked for than they serve: no send permit was granted",
	"upstream-refused":    "every upstream that was tried refused it without running it",
	"evacuated":           "the operators had evacuated all failure domains with upstreams that could serve it",
	"limit":               "its workspace had used up its limit: the leaders refused it (quota_retry_ms: when there is room for it again)",
	"no-quota-leader":     "no leader of its workspace's limit responded in time, or waiting for one was in vain: check the 'quota shard' and 'limits without leaders' lines and the store",
	"stale-configuration": "the configuration could not be confirmed as the newest for too long: a key might have been revoked",
	"unknown-key":         "its key belongs to no workspace of the configuration in force",
}

func causeOf(own []Line) string {
	for _, l := range own {
		if l.Message != messageRequest {
			continue
		}
		if cause, known := causes[l.Reason]; known {
			return cause
		}
		return l.Reason
	}
	return "its end was not written: the process exited first, or the line was dropped"
}

// WriteText writes the timeline as text. A star marks the request's own lines.
func (t *Timeline) WriteText(w io.Writer) error {
	if _, err := fmt.Fprintf(w, "request %s: %s\n", t.Request, t.Cause); err != nil {
		return errors.Trace(err)
	}
	for _, e := range t.Events {
		marker := " "
		if e.Own {
			marker = "*"
		}
		_, err := fmt.Fprintf(w, "%s %+9.3f s  %-18s %s%s\n", marker, e.Offset.Seconds(), e.Line.Box, e.Line.Message, details(e.Line.Text))
		if err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

// shownElsewhere are the attributes that details leaves out. The text shows most of them elsewhere.
var shownElsewhere = map[string]bool{"box": true, "failure_domain": true, "level": true, "msg": true, "request": true, "time": true}

// details formats the other attributes of a line, sorted by name.
func details(text json.RawMessage) string {
	var attributes map[string]json.RawMessage
	if json.Unmarshal(text, &attributes) != nil {
		return ""
	}
	var list []string
	for name, value := range attributes {
		if !shownElsewhere[name] {
			list = append(list, name+"="+strings.Trim(string(value), `"`))
		}
	}
	slices.Sort(list)
	if len(list) == 0 {
		return ""
	}
	return "  " + strings.Join(list, " ")
}
