package controller

import (
	"time"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/engineload"
)

const (
	// promptPoll is the pause between two reports while prompts wait for the engine's streams. It
	// is short compared with the time between two events (30 ms at the fastest engines seen).
	promptPoll = 20 * time.Millisecond
	// streamPoll is the pause while streams with a gap target run. It is about the time between
	// two events.
	streamPoll = 50 * time.Millisecond
	// sendTime is the longest time from the grant of a request until the engine reports it.
	sendTime = 50 * time.Millisecond
	// maxReportAge is the age from which a report no longer bounds the running requests.
	maxReportAge = time.Second
	// expectedOutput is the number of tokens that a request adds to the engine's memory beside
	// its prompt: some eighty events of seven tokens.
	expectedOutput = 500
)

// holdReason is why a prompt waits whose adapter is loaded.
type holdReason string

// The reasons of a hold.
const (
	// holdMemory means that the engine's memory has no room for the request.
	holdMemory holdReason = "memory"
	// holdRunning means that the engine runs as many requests as it can.
	holdRunning holdReason = "running"
	// holdStreams means that the prompt would pause the running streams for too long.
	holdStreams holdReason = "streams"
)

// engineRoom is how many requests the engine can run, by its last report.
type engineRoom struct {
	// enabled is set if the engine's load is followed (followEngineLoad).
	enabled bool
	at      time.Time
	load    sandbarrow.EngineLoad
	// maxRunning is the number of requests that the engine runs at once; 0 if unknown.
	maxRunning int
}

// full returns why the engine can't run one more request now, or "". unreported counts the requests
// that were granted after the last report, and unreportedTokens their memory.
func (r *engineRoom) full(now time.Time, prompt, unreported, unreportedTokens int) holdReason {
	if !r.enabled || r.load.Running == nil || now.Sub(r.at) > maxReportAge {
		return ""
	}
	running := *r.load.Running + unreported
	if r.load.Queued != nil {
		running += *r.load.Queued
	}
	if running == 0 {
		return ""
	}
	if r.maxRunning > 0 && running >= r.maxRunning {
		return holdRunning
	}
	if r.load.KVTotal == nil || r.load.KVUsed == nil || *r.load.KVTotal <= 0 {
		return ""
	}
	if int(*r.load.KVUsed)+unreportedTokens+prompt+expectedOutput > int(*r.load.KVTotal) {
		return holdMemory
	}
	return ""
}

// mayPrefill decides whether the engine may prefill the prompt of a request now.
//
// The decision depends on the last report (50 ms old at most while streams run), on the prompts
// granted since, and on the time until the response can no longer be complete in time. Where no running stream
// has a gap target or the engine's event time is unknown, it depends on the pauses of streams alone.
func (s *slots) mayPrefill(now time.Time, w *pendingRequest) bool {
	slack := w.latestGrant.Sub(now)
	unreported, unreportedTokens := s.prefills.grantedSince(s.room.at.Add(-sendTime))
	if reason := s.room.full(now, w.pin.tokens, unreported, unreportedTokens); reason != "" {
		s.hold(w, reason)
		return false
	}
	streams := s.streams(now)
	if !streams.Known() {
		toPrefill := s.prefills.pendingTokens(now)
		return toPrefill == 0 || s.awaitingPrefill.window.Admits(toPrefill+w.pin.toPrefill)
	}
	s.awaitingPrefill.window.Admits(streams.GapTokens + w.pin.toPrefill)
	if !streams.Admits(w.pin.toPrefill, slack) {
		s.hold(w, holdStreams)
		return false
	}
	return true
}

// hold records why a prompt waits first.
func (s *slots) hold(w *pendingRequest, reason holdReason) {
	if w.held == "" {
		w.held = reason
		s.observeHold(reason)
	}
}

// followEngineLoad sets whether the engine's load is learnt and published and bounds the prompts that
// are admitted: where the setting controller.engine_load and the operators' document call for it.
func (s *slots) followEngineLoad(follow bool) {
	s.curve.enabled, s.room.enabled = follow, follow
}

// streams describes the running streams of the engine. They are unknown if its load is not followed.
func (s *slots) streams(now time.Time) engineload.Streams {
	if !s.curve.enabled {
		return engineload.Streams{}
	}
	out := engineload.Streams{
		Curve: s.curve.estimator.Curve(), PerToken: s.prefills.speed.Speed().PerToken, GapTarget: s.smallestGapTarget(),
		MaxTokens: s.awaitingPrefill.window.Size(), Running: s.curve.running,
	}
	if out.Known() {
		out.GapTokens = s.curve.clock.GapTokens(now, out.GapTarget, s.gapPrefills.prefilled, s.gapPrefills.pending(s.prefills.toPrefill))
		out.EventTime, _ = s.curve.clock.EventTime(out.Curve.EventTime(out.Running))
	}
	return out
}

// smallestGapTarget returns the smallest gap target of the pinned requests; 0 if none has one.
func (s *slots) smallestGapTarget() time.Duration {
	smallest := time.Duration(0)
	for target := range s.gapTargets {
		if smallest == 0 || target < smallest {
			smallest = target
		}
	}
	return smallest
}

// countGapTarget adds a number of pinned requests with a gap target.
func (s *slots) countGapTarget(target time.Duration, n int) {
	if target <= 0 {
		return
	}
	if s.gapTargets[target] += n; s.gapTargets[target] <= 0 {
		delete(s.gapTargets, target)
	}
}

// pollInterval returns the pause before the next report if no load is in progress.
func (s *slots) pollInterval() time.Duration {
	switch {
	case !s.curve.enabled:
		return idlePoll
	case len(s.awaitingPrefill.waiting) > 0:
		return promptPoll
	case !s.curve.estimator.Curve().Known() || len(s.gapTargets) == 0:
		return idlePoll
	}
	return streamPoll
}

// grantedSince counts the requests granted after a time whose response has not started, and the
// tokens of their prompts.
func (r *prefills) grantedSince(since time.Time) (requests, tokens int) {
	for _, p := range r.toPrefill {
		if p.grantedAt.After(since) {
			requests++
			tokens += p.tokens + expectedOutput
		}
	}
	return requests, tokens
}
