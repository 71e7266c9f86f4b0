package permit

import "time"

const (
	// minTTL is how long a permit is valid at least, if its request has as much time left.
	minTTL = 2 * time.Second
	// serviceFactor, times the learned service time, is how long a request holds a permit at most.
	serviceFactor = 4
)

// TTL decides how long a permit that is not returned is valid: no longer than its request may run, and long
// enough for one that takes several times as long as usual, so that a slow upstream does not get further
// requests while it still runs those with a permit.
//
// Inputs: the time until the request's deadline, and its learned service time; 0 if there is none.
func TTL(left, service time.Duration) time.Duration {
	return min(left, max(minTTL, serviceFactor*service))
}
