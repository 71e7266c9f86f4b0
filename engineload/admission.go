package engineload

import "time"

const (
	// slowHeadroom allows for periods in which an engine is 2.5 times as slow as usual.
	slowHeadroom = 2.5
	// leastHeadroom allows for the usual noise of steps alone. It applies to prompts whose callers
	// would run out of time otherwise.
	leastHeadroom = 1.25
	// urgentSlack is the time before a caller's time runs out from which its prompt is admitted with
	// leastHeadroom: some reports of the engine.
	urgentSlack = 50 * time.Millisecond
)

const (
	// slowPeriod is the ratio of the present event time to the usual one from which an engine
	// counts as in a slow period. A false alarm costs a long prompt 20 ms, a missed period the
	// gaps of all streams.
	slowPeriod = 1.2
)

// minEventTokens is the number of tokens in an event from which its gap is bounded here. An engine makes
// one token of a stream in each step, and may prefill prompts in each step. With fewer steps in an
// event, few prompts fall into one gap, and waiting for events would delay prompts for nothing.
const minEventTokens = 6

// Applies reports whether prompts are admitted by the gaps of streams, and engines chosen by their event
// times, where an event has so many tokens; 0 is unknown.
func Applies(eventTokens int) bool {
	return eventTokens >= minEventTokens
}

// Streams are the running streams of an engine, as far as prompts affect them.
type Streams struct {
	// Curve is the engine's event time, and PerToken its prefill time of a prompt token.
	Curve    Curve
	PerToken time.Duration
	// EventTime is the present event time, or 0 if it is unknown (EventClock).
	EventTime time.Duration
	// GapTarget is the smallest gap target of the running streams; 0 if none has one.
	GapTarget time.Duration
	// GapTokens is the number of prompt tokens in the current gap of a stream (EventClock).
	GapTokens int
	// MaxTokens bounds the prompt tokens in a gap further, because streams have paused.
	MaxTokens int
	// Running is the number of running requests.
	Running int
}

// Known reports whether the streams bound the prompts that the engine may prefill.
func (s *Streams) Known() bool {
	return s.GapTarget > 0 && s.PerToken > 0 && s.Curve.Known()
}

// Admits decides whether the engine may prefill one more prompt now, so that the gaps of its
// streams stay within the target. slack is the time until the prompt's own response can no longer be
// complete in the time that its caller has.
//
// The event time and the prompts in a gap must fit into the target even in a slow period. A prompt
// that is too long for that is prefilled alone, and not in a slow period. One whose caller would run
// out of time may take the allowance for slow periods, because no response is worse than a long gap.
func (s *Streams) Admits(prompt int, slack time.Duration) bool {
	tokens := s.GapTokens + prompt
	switch {
	case s.GapTokens <= 0 && (s.Running == 0 || prompt <= s.budget(slowHeadroom)):
		return true
	case s.GapTokens <= 0 && s.EventTime <= 0:
		return slack < urgentSlack
	case s.GapTokens <= 0:
		return float64(s.EventTime) < slowPeriod*float64(s.Curve.EventTime(s.Running)) || slack < urgentSlack
	case tokens <= min(s.budget(slowHeadroom), s.MaxTokens):
		return true
	}
	return slack > 0 && slack < urgentSlack && tokens <= s.budget(leastHeadroom)
}

// budget returns the number of prompt tokens in a gap that keeps it within the target with so much
// headroom.
func (s *Streams) budget(headroom float64) int {
	gap := time.Duration(float64(s.GapTarget) / headroom)
	return int(max(0, gap-s.Curve.EventTime(s.Running)) / s.PerToken)
}
