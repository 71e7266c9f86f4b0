package gateway

import "time"

const (
	// earlyObjectiveParts: a caller is refused early within the first eighth of the route's
	// objective, while a second attempt can still be in time.
	earlyObjectiveParts = 8
	// earlyPatiencePercent: a caller is refused early only where it waits for at least this part of
	// the route's timeout, in percent. A caller that waits less has come back already, or will not.
	earlyPatiencePercent = 97
)

// refuseEarly decides whether a first attempt is refused at once, so that the
// caller comes back soon, in place of waiting for a slot at an engine that will be
// late.
//
// Inputs: the best engine as it was seen at the choice, how long the call has
// waited, the route's objective and timeout, and how long the caller waits in all.
// Only the want of a slot is refused: a load ends by itself, and refusing for any
// late answer serves fewer callers.
func refuseEarly(best *candidate, waited, objective, timeout, patience time.Duration) bool {
	if !best.late || !best.full {
		return false
	}
	return waited < objective/earlyObjectiveParts && patience > timeout*earlyPatiencePercent/100
}
