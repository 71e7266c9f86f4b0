package gateway

import "time"

const (
	// earlyObjectiveDivisor limits early refusals to the first eighth of the route's objective,
	// while a second attempt of the caller can still be in time.
	earlyObjectiveDivisor = 8
	// minCallerTimeoutPercent limits early refusals to callers that wait for at least this
	// percentage of the route's timeout. A caller that waits for less has already retried, or
	// won't retry.
	minCallerTimeoutPercent = 97
)

// refuseEarly decides whether a first attempt is refused immediately. The caller then
// retries soon, instead of waiting for a slot at an engine that will be late.
//
// Inputs: the snapshot of the best engine, how long the call has waited, the route's
// objective and timeout, and the caller's own timeout. Only a request that lacks a free
// slot is refused: a load finishes by itself, and refusing every request that will be late
// serves fewer callers.
func refuseEarly(best *candidate, waited, objective, timeout, callerTimeout time.Duration) bool {
	if !best.late || !best.waitsForSlot {
		return false
	}
	return waited < objective/earlyObjectiveDivisor && callerTimeout > timeout*minCallerTimeoutPercent/100
}
