package gateway

import (
	"time"

	"sandbarrow.example/sandbarrow/engineload"
	"sandbarrow.example/sandbarrow/readspeed"
)

const (
	// maxTypicalCandidates bounds the number of engines from which the typical event time is
	// computed. A choice among thousands of engines sorts no more than these.
	maxTypicalCandidates = 31
	// minDifference is the relative difference of event times, beyond the noise of the estimates, up
	// to which engines count as alike. Slightly slower engines cost callers less than the loads and
	// the cached prompts that are lost by avoiding them.
	minDifference = 0.4
	// fullDifference is how much larger it is where engines are chosen by their event times alone.
	fullDifference = 0.2
	// typicalPrompt is the number of prompt tokens of a request that engines prefill on average.
	typicalPrompt = 1500
)

// eventTimes compares the event times of the candidates of a choice. Its zero value is for engines
// that are alike or unknown.
type eventTimes struct {
	typical engineload.Curve
	// difference is how much the engines differ beyond the noise: 0 if they are alike, 1 if they
	// are chosen by their event times alone.
	difference float64
}

// compareEventTimes determines the typical event time and how much the candidates differ from it.
// Without a gap target, it returns the zero value.
func compareEventTimes(list []candidate, n *requirements) eventTimes {
	if n.gapTarget <= 0 {
		return eventTimes{}
	}
	var known [maxTypicalCandidates]engineload.Curve
	count := 0
	stride := (len(list) + maxTypicalCandidates - 1) / maxTypicalCandidates
	for i := 0; i < len(list); i += stride {
		if list[i].linked {
			known[count] = list[i].status.EventTimes
			count++
		}
	}
	t := eventTimes{typical: engineload.Median(known[:count])}
	if !t.typical.Known() {
		return t
	}
	usual, most := float64(t.typical.TypicalEventTime()), 0.0
	for i := range list {
		if list[i].linked {
			own := float64(list[i].status.EventTimes.ShrinkToward(t.typical).TypicalEventTime())
			most = max(most, own/usual-1, usual/own-1)
		}
	}
	t.difference = min(1, max(0, most-minDifference)/fullDifference)
	return t
}

// harm is the expected harm of the choice of a linked engine, in place of runningDelay, which is
// part of the cost already: the chance that the stream pauses for too long there, and what its
// prompt adds to the chances of the running streams, each as the time for which a reader waits at such a
// pause. It is 0 if the engines are alike. speed is the engine's prefill speed.
func (t *eventTimes) harm(e *candidate, n *requirements, speed readspeed.Speed) time.Duration {
	if t.difference == 0 {
		return 0
	}
	curve := e.status.EventTimes.ShrinkToward(t.typical)
	typical := speed.PrefillTime(typicalPrompt)
	risk := curve.AddedRisk(e.status.Running, speed.PrefillTime(e.uncachedTokens(n.tokens)), typical, n.gapTarget)
	risk += curve.StreamRisk(e.status.Running, typical, n.gapTarget)
	harm := risk*float64(engineload.ExpectedPause(n.gapTarget)) - float64(e.status.Running)*float64(runningDelay)
	return time.Duration(t.difference * harm)
}

// medianEventTimes returns the median curve of the event times of the engines seen so far; unknown
// if there is none. A controller that has just started uses it as its first estimate.
func (e *engines) medianEventTimes() engineload.Curve {
	var seen []engineload.Curve
	e.mu.Lock()
	for _, l := range e.links {
		seen = append(seen, l.eventTimes())
	}
	e.mu.Unlock()
	return engineload.Median(seen)
}
