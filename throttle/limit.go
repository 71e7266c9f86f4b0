package throttle

import (
	"net/http"
	"time"

	"sandbarrow.example/sandbarrow"
)

// Limit is what is known of one upstream's limit.
type Limit struct {
	// At is when the upstream named its limit; where Ended, when the request was sent whose
	// answer named none: an answer that was on its way before a limit began ends nothing.
	At time.Time
	// Ended says that the upstream names no limit any more.
	Ended bool
	Rate  Rate
}

// LimitFromResponse decides what an answer says of its upstream's limit; false where it says nothing. That
// the upstream names none any more is concluded only from an answer that is no failure.
//
// Inputs: when the request was sent, the status of the answer and the limit that it names, nil
// where it names none.
func LimitFromResponse(now, sent time.Time, status int, named *sandbarrow.RequestRate) (Limit, bool) {
	switch {
	case status == http.StatusMisdirectedRequest:
		return Limit{}, false // the answer of another instance
	case named != nil:
		return Limit{At: now, Rate: min(Rate(*named), mostRate)}, true
	case status >= http.StatusInternalServerError:
		return Limit{}, false
	}
	return Limit{At: sent, Ended: true}, true
}

// newer reports whether the limit replaces another one.
func (l Limit) newer(than Limit) bool {
	return l.At.After(than.At)
}

// same reports whether two limits say the same, whenever they were named.
func (l Limit) same(as Limit) bool {
	return l.Ended == as.Ended && (l.Ended || l.Rate == as.Rate)
}

// Record is what one process tells another of an upstream's limit.
type Record struct {
	// AgeMS is how long ago the upstream said so, in milliseconds when the Record was made.
	AgeMS int64 `json:"age_ms"`
	// Ended says that the upstream names no limit any more.
	Ended    bool                  `json:"ended,omitempty"`
	Instance sandbarrow.InstanceID `json:"instance"`
	Rate     Rate                  `json:"rate,omitempty"`
}

// Valid reports whether a record can be meant as it is.
func (r *Record) Valid() bool {
	return r.Instance != "" && r.AgeMS >= 0 && r.AgeMS <= keepFor.Milliseconds() && r.Rate >= 0 && r.Rate <= mostRate
}

// limit is the Limit that a record tells of.
func (r *Record) limit(now time.Time) Limit {
	return Limit{At: now.Add(-time.Duration(r.AgeMS) * time.Millisecond), Ended: r.Ended, Rate: r.Rate}
}
