package engineload

import "time"

// EventClock follows the events of each running stream from report to report. It counts the prompt
// tokens in the current gap of a stream: a prompt that the engine prefills between two events
// lengthens that gap, whether the engine is in a slow period or not. It also measures the event time
// while no prompt is prefilled. Its zero value has seen no report. It is not safe for concurrent use.
type EventClock struct {
	at      time.Time
	streams map[RunID]streamEvent
	// prefilled is the number of tokens that the engine had prefilled at the last report, and
	// toPrefill those that it had yet to prefill.
	prefilled, toPrefill int
	// quiet is the stream time since the engine last prefilled a prompt, over all streams, and
	// quietEvents the events that they made in it.
	quiet       time.Duration
	quietEvents int
}

// streamEvent is the last event of a stream.
type streamEvent struct {
	at     time.Time
	events int
	// prefilled is the number of tokens that the engine had prefilled before the event.
	prefilled int
}

// maxQuiet is the stream time after which the event time is measured anew, so that the beginning of
// a slow period shows at once. It is some ten events of usual engines, and one report with twenty
// streams.
const maxQuiet = 400 * time.Millisecond

// Add adds a report: the events that each run has made, the number of prompt tokens that the engine
// has prefilled so far, and those that it has yet to prefill.
func (c *EventClock) Add(now time.Time, events map[RunID]int, prefilled, toPrefill int) {
	quiet := toPrefill == 0 && c.toPrefill == 0 && prefilled == c.prefilled
	if !quiet || c.quiet >= maxQuiet {
		c.quiet, c.quietEvents = 0, 0
	}
	streams := make(map[RunID]streamEvent, len(events))
	for id, n := range events {
		last, known := c.streams[id]
		switch {
		case n <= 0: // no event yet, so no gap
			continue
		case known && last.events == n:
			streams[id] = last
		default:
			streams[id] = streamEvent{at: now, events: n, prefilled: c.prefilled}
		}
		if known && quiet {
			c.quiet += now.Sub(c.at)
			c.quietEvents += max(0, n-last.events)
		}
	}
	c.at, c.streams, c.prefilled, c.toPrefill = now, streams, prefilled, toPrefill
}

// GapTokens returns the largest number of tokens in the current gap of a stream: prefilled since
// its last event, or admitted and still to prefill. It leaves out streams without an event for
// longer than the gap target, as they are late already.
func (c *EventClock) GapTokens(now time.Time, target time.Duration, prefilled, toPrefill int) int {
	earliest := prefilled
	for _, s := range c.streams {
		if now.Sub(s.at) < target {
			earliest = min(earliest, s.prefilled)
		}
	}
	return prefilled - earliest + toPrefill
}

// EventTime returns the event time since the engine last prefilled a prompt. It returns false if
// too few events were expected since then to tell.
func (c *EventClock) EventTime(usual time.Duration) (time.Duration, bool) {
	const enough = 4 // events
	if c.quiet < enough*usual {
		return 0, false
	}
	return c.quiet / time.Duration(max(1, c.quietEvents)), true
}
