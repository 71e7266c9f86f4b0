package throttle

import "time"

// Limit is what is known of one upstream's limit.
type Limit struct {
	// At is when the upstream named its limit; where Ended, when the request was sent whose
	// answer named none: an answer that was on its way before a limit began ends nothing.
	At time.Time
	// Ended says that the upstream names no limit any more.
	Ended bool
	Rate  Rate
}

// newer reports whether the limit replaces another one.
func (l Limit) newer(than Limit) bool {
	return l.At.After(than.At)
}

// same reports whether two limits say the same, whenever they were named.
func (l Limit) same(as Limit) bool {
	return l.Ended == as.Ended && (l.Ended || l.Rate == as.Rate)
}
