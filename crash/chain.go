package crash

import "time"

// chain is a sequence of crashes that are independent of each other: the first one, and each one under
// a run that was sent after the one before. Upstreams that crash together count once, however many
// runs met them.
type chain struct {
	length int
	last   time.Time
	// failedTrials counts the crashes under requests that were tried after the part had been refused.
	failedTrials int
}

// newChain returns the chain of crashes, which are sorted by time.
func newChain(crashes []Crash) chain {
	var c chain
	for i := range crashes {
		next := &crashes[i]
		if c.length > 0 && !next.Sent.After(c.last) {
			continue
		}
		if c.length > 0 && next.At.Sub(c.last) >= minPartHold {
			c.failedTrials++
		}
		c.length, c.last = c.length+1, next.At
	}
	return c
}
