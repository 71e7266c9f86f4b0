package retry

import "time"

// followDivisor is the part of its remaining time for which a caller follows Retry-After.
const followDivisor = 3

// Follow returns for how long a caller follows Retry-After, from the time that it has left.
func Follow(left time.Duration) time.Duration {
	return max(0, left/followDivisor)
}

// Returns decides when refused callers come back to one resource: after each other, as fast as the
// resource serves them, so that each finds room if nobody else comes. Nothing is set aside for them;
// who returns is served in the same order as who is new. The zero value has told nobody.
type Returns struct {
	// next is when there is room for one more caller after all that were told.
	next time.Time
}

// Add returns after which time a caller comes back that is refused now, and whether it takes a turn.
//
// Inputs: when there would be room for it if nobody had been told to come back, the time that the
// resource needs for it, and for how long it follows Retry-After. A caller whose turn is later than
// that comes back before, whatever it is told. It is told its turn, and takes none.
func (r *Returns) Add(now, room time.Time, each, follow time.Duration) (after time.Duration, turn bool) {
	at := room
	if r.next.After(at) {
		at = r.next
	}
	after = max(0, at.Sub(now))
	if after > follow {
		return after, false
	}
	r.next = at.Add(each)
	return after, true
}
