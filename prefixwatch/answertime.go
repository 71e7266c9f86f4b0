package prefixwatch

import "time"

// This file decides how much longer than it waits a watch may take before its connection
// counts as silent.

const (
	// leastSlack is that time for a store that answers fast: many times the 4 ms that it
	// takes when it is well, and more than the 200 ms that it was seen to take when slow.
	leastSlack = 300 * time.Millisecond
	// mostSlack bounds it, so that also after a long silence a watch is given up within
	// DefaultWait and mostSlack. Slower stores than that were not seen; from them, changes
	// are read that come before a call is given up.
	mostSlack = time.Second
	// answerMargin is how many times the last answer's time may be taken:
	answerMargin = 3
)

// answerTime learns how long the store takes to answer. The zero value knows none.
type answerTime struct{ slack time.Duration }

// answered notes an answer that came so long after it was due.
func (a *answerTime) answered(late time.Duration) {
	a.slack = min(max(answerMargin*late, leastSlack), mostSlack)
}

// bound is how long after it is due an answer may come.
func (a *answerTime) bound() time.Duration {
	return max(a.slack, leastSlack)
}

// missed notes that no answer came: the store may be slower than it was.
func (a *answerTime) missed() {
	a.slack = min(2*a.bound(), mostSlack)
}
