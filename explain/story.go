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

// ErrUnknown means that no line is about a request.
const ErrUnknown = errors.ConstError("explain: no line tells of this request")

// lead is how long before a request what its deciders learnt counts.
const lead = 3 * time.Second

// Event is one line of a story.
type Event struct {
	// At is counted from the start of the request; negative before it.
	At   time.Duration `json:"at_ns"`
	Line Line          `json:"line"`
	// Own says that the line is the request's own, not one of what its deciders learnt.
	Own bool `json:"own"`
}

// Story is what the logs show of one request.
type Story struct {
	Cause   string  `json:"cause"`
	Events  []Event `json:"events"`
	Request string  `json:"request"`
}

// Tell makes the story of a request. Each log is one process's lines in their
// order; skew is how far the clocks of boxes may lie apart.
func Tell(logs [][]Line, request string, skew time.Duration) (*Story, error) {
	var own []Line
	for _, lines := range logs {
		for _, l := range lines {
			if l.Request == request {
				own = append(own, l)
			}
		}
	}
	if len(own) == 0 {
		return nil, errors.Annotatef(ErrUnknown, "%q", request)
	}
	s := subjectOf(own)
	story := &Story{Cause: causeOf(own), Request: request}
	for _, lines := range logs {
		for i := range lines {
			if l := &lines[i]; l.Request == request || s.concerns(l, skew) {
				story.Events = append(story.Events, Event{At: l.Time.Sub(s.began), Line: *l, Own: l.Request == request})
			}
		}
	}
	slices.SortStableFunc(story.Events, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	return story, nil
}

// subject is what a request was about and when.
type subject struct {
	adapter      string
	began, ended time.Time
	boxes        map[string]bool
	upstreams    map[string]bool
}

func subjectOf(own []Line) subject {
	s := subject{boxes: map[string]bool{}, upstreams: map[string]bool{}}
	for _, l := range own {
		s.boxes[l.Box] = true
		s.adapter = cmp.Or(l.Adapter, s.adapter)
		if l.Upstream != "" {
			s.upstreams[l.Upstream] = true
		}
		if l.Message != messageRequest {
			continue
		}
		s.ended = l.Time
		s.began = l.Time.Add(-time.Duration(l.TookMS) * time.Millisecond)
	}
	if s.ended.IsZero() { // its end was not written, or its process ended before
		s.began, s.ended = own[0].Time, own[len(own)-1].Time
	}
	return s
}

// learnt are the messages about what a process learnt, never about another request.
var learnt = map[string]bool{
	"adapter version named": true, "base model loaded": true, "base model version named": true, "configuration in force": true, "controller linked": true, "controller lost": true,
	"engine identified": true, "engine draining": true, "engine lost": true, "engine regained": true, "engine restarted": true,
	"fencing token": true, "gateway stops": true, "started": true, "stopped": true, "store lost": true, "store regained": true,
	"upstream listed": true, "upstream no longer listed": true, "upstreams learnt from a peer": true,
}

// concerns reports whether a line is about what a decider of the request knew,
// or what became of its adapter.
func (s *subject) concerns(l *Line, skew time.Duration) bool {
	if l.Time.Before(s.began.Add(-lead-skew)) || l.Time.After(s.ended.Add(skew)) || l.Request != "" {
		return false
	}
	switch {
	case l.Upstream != "":
		return s.upstreams[l.Upstream] && s.boxes[l.Box]
	case l.Adapter != "":
		return l.Adapter == s.adapter
	case s.boxes[l.Box]:
		return learnt[l.Message]
	}
	return s.upstreams[l.Instance] && learnt[l.Message]
}

// causes are the meanings of reasons.
var causes = map[string]string{
	"":                    "served, or answered with the upstream's own failure",
	"bad-request":         "the request itself was malformed",
	"broken":              "an upstream broke off, and the request could not go elsewhere",
	"caller-left":         "the caller left before its answer was whole",
	"deadline":            "the time of the caller or the route was over",
	"no-configuration":    "the gateway had no configuration or no list of upstreams yet",
	"no-route":            "no route of the configuration in force matched",
	"no-slot":             "no engine that was asked had a slot for the adapter in time",
	"no-upstream":         "no upstream of the service was known, or none could be reached",
	"overload":            "all engines would have been late, so it was refused at once",
	"retry-budget":        "it may only go elsewhere within the budget for repeats, which was spent",
	"stopping":            "the gateway was stopping and the stream might not have ended before",
	"too-large":           "the request was larger than the operators allow",
	"upstream-refused":    "every upstream that was asked refused it as not run",
	"limit":               "its workspace had used up its limit: the leaders of both parts refused it",
	"no-quota-leader":     "no leader of its workspace's limit answered in time: look for 'quota shard' lines and for the store",
	"stale-configuration": "for too long nobody could tell that the configuration was the newest: a key might have been withdrawn",
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
	return "its end was not written: the process ended first, or the line was dropped"
}

// WriteText writes the story as a page to read.
func (s *Story) WriteText(w io.Writer) error {
	if _, err := fmt.Fprintf(w, "request %s: %s\n", s.Request, s.Cause); err != nil {
		return errors.Trace(err)
	}
	for _, e := range s.Events {
		mark := " "
		if e.Own {
			mark = "*"
		}
		_, err := fmt.Fprintf(w, "%s %+9.3f s  %-18s %s%s\n", mark, e.At.Seconds(), e.Line.Box, e.Line.Message, details(e.Line.Text))
		if err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

// plain are the attributes that a line of text shows elsewhere.
var plain = map[string]bool{"box": true, "failure_domain": true, "level": true, "msg": true, "request": true, "time": true}

// details lists a line's other attributes by name.
func details(text json.RawMessage) string {
	var attributes map[string]json.RawMessage
	if json.Unmarshal(text, &attributes) != nil {
		return ""
	}
	var list []string
	for name, value := range attributes {
		if !plain[name] {
			list = append(list, name+"="+strings.Trim(string(value), `"`))
		}
	}
	slices.Sort(list)
	if len(list) == 0 {
		return ""
	}
	return "  " + strings.Join(list, " ")
}
