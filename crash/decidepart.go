package crash

import (
	"slices"
	"time"
)

// This file decides which parts of prompts crash upstreams. It has no clock, lock or connection.
//
// A fatal part crashes each upstream that begins to respond to a request with it, whatever else the
// request holds. Other runs on that upstream crash with it, so each of their parts is suspected too,
// until an upstream responds to some request with the part. What remains is told apart by the order
// of the crashes, and by which parts were there at which crashes.

const (
	// minSuspectChain is the length of a chain of crashes from which a part is suspected.
	minSuspectChain = 2
	// provenMargin is by how many crashes more a proven part is suspected, and refused. Popular parts
	// meet several crashes in a row in any burst of crashes, and become fatal only with the software
	// of upstreams.
	provenMargin = 1
	// maxPartCoincidenceChance is maxCoincidenceChance for a part. It is lower, because all requests with
	// the part are refused.
	maxPartCoincidenceChance = 1e-5
	// minPartHold is how long a fatal part is refused after its last crash. A request with it is then
	// tried, which costs an upstream if the part is still fatal. Each such crash doubles the time, up
	// to maxPartHold.
	minPartHold = time.Minute
	maxPartHold = 5 * time.Minute
)

// PartVerdict says what may be done with a request by the parts of its prompt.
type PartVerdict int

// Verdicts.
const (
	// PartsUnsuspected is for a request that may be sent.
	PartsUnsuspected PartVerdict = iota
	// PartsSuspected is for a request of which few should run at a time, until an upstream responds.
	PartsSuspected
	// PartsRefused is for a request that must not be sent.
	PartsRefused
)

// PartDecision is the decision on a request by the parts of its prompt.
type PartDecision struct {
	// Crashes counts the crashes of the most suspect part, each of which a request caused or met that
	// was sent after the one before. Needed is the number from which requests with it are refused.
	Crashes, Needed int
	// ExpiresIn is the time until a request with a refused part may be tried.
	ExpiresIn time.Duration
	// Part is the most suspect part.
	Part    Fingerprint
	Verdict PartVerdict
}

// partState is what is known of one part.
type partState struct {
	// crashes are the uncleared crashes, by time.
	crashes []Crash
	// proven says that an upstream had responded to a request with the part before the first crash.
	proven bool
}

// partSnapshot holds all parts with uncleared crashes.
type partSnapshot map[Fingerprint]*partState

// counted returns the crashes that count against a part. Those of a proven part that an unproven,
// suspected part shares are explained by that one.
func (s partSnapshot) counted(f Fingerprint) []Crash {
	p := s[f]
	if !p.proven {
		return p.crashes
	}
	rest := p.crashes
	for _, other := range s {
		if !other.proven && newChain(other.crashes).length >= minSuspectChain {
			rest = subtract(rest, other.crashes)
		}
	}
	return rest
}

// isMasked reports whether a part that the request lacks explains all crashes that count against one
// of its parts. The request may then be sent, and tells the two apart.
func (s partSnapshot) isMasked(f Fingerprint, counted []Crash, request []Fingerprint) bool {
	for other, q := range s {
		if slices.Contains(request, other) || q.proven && !s[f].proven {
			continue
		}
		if len(subtract(counted, q.crashes)) == 0 {
			return true
		}
	}
	return false
}

// decide decides on a request by the parts of its prompt.
//
// Inputs: the uncleared crashes of all parts, which lag by the delay of messages between processes;
// for a part the number of crashes that are needed; and jitter, from 0 to 1, by which processes
// differ in when they try a refused part again, so that one of them does so first.
func (s partSnapshot) decide(now time.Time, request []Fingerprint, needed func(Fingerprint) int, jitter float64) PartDecision {
	var d PartDecision
	for _, f := range request {
		if s[f] == nil {
			continue
		}
		counted := s.counted(f)
		c := newChain(counted)
		margin := 0
		if s[f].proven {
			margin = provenMargin
		}
		if c.length < minSuspectChain+margin || s.isMasked(f, counted, request) {
			continue
		}
		one := PartDecision{Crashes: c.length, Needed: min(needed(f)+margin, maxCrashesNeeded), Part: f, Verdict: PartsSuspected}
		if c.length >= one.Needed {
			hold := partHold(c.failedTrials)
			one.ExpiresIn = c.last.Add(hold + time.Duration(jitter*float64(hold/2))).Sub(now)
		}
		if one.ExpiresIn > 0 {
			one.Verdict = PartsRefused
		}
		if one.Verdict > d.Verdict || one.Verdict == d.Verdict && one.Crashes > d.Crashes {
			d = one
		}
	}
	return d
}

// partHold returns how long a part is refused after a number of failed trials.
func partHold(failedTrials int) time.Duration {
	hold := minPartHold
	for ; failedTrials > 0 && hold < maxPartHold; failedTrials-- {
		hold *= 2
	}
	return min(hold, maxPartHold)
}
