package throttle

import (
	"net/http"
	"time"

	"sandbarrow.example/sandbarrow"
)

// Limit is the last known state of one upstream's limit.
type Limit struct {
	// At is when the upstream named its limit. If Ended, it is when the request was sent whose
	// response named no limit: a request that was sent before a limit began must not end it.
	At time.Time
	// Ended says that the upstream no longer names a limit.
	Ended bool
	Rate  Rate
}

// LimitFromResponse returns the state of an upstream's limit according to a response; false if the
// response does not show it. Only a response that is not a failure shows that a limit has ended.
//
// Inputs: when the request was sent, the status of the response and the limit that it names, nil if
// it names none.
func LimitFromResponse(now, sent time.Time, status int, named *sandbarrow.RequestRate) (Limit, bool) {
	switch {
	case status == http.StatusMisdirectedRequest:
		return Limit{}, false // the response is from another instance
	case named != nil:
		return Limit{At: now, Rate: min(Rate(*named), maxRate)}, true
	case status >= http.StatusInternalServerError:
		return Limit{}, false
	}
	return Limit{At: sent, Ended: true}, true
}

// Cold is the state of an upstream that is cold after a start. It accepts requests at a lower rate
// until then.
type Cold struct {
	// Rate is the request rate that it accepts; 0 means any.
	Rate  Rate
	Until time.Time
}

// active reports whether the upstream is cold and accepts requests at a limited rate.
func (c Cold) active(now time.Time) bool {
	return c.Rate > 0 && now.Before(c.Until)
}

// newer reports whether the limit is newer than another one and replaces it.
func (l Limit) newer(other Limit) bool {
	return l.At.After(other.At)
}

// same reports whether two limits are equal, regardless of when they were named.
func (l Limit) same(other Limit) bool {
	return l.Ended == other.Ended && (l.Ended || l.Rate == other.Rate)
}

// Record is the state of an upstream's limit as one process reports it to another.
type Record struct {
	// AgeMS is the age of this state in milliseconds, at the time when the Record was made.
	AgeMS int64 `json:"age_ms"`
	// ColdMS is how many milliseconds longer the upstream is cold, and ColdRate the rate that it
	// accepts until then. Both are 0 if it is warm.
	ColdMS   int64 `json:"cold_ms,omitempty"`
	ColdRate Rate  `json:"cold_rate,omitempty"`
	// Ended says that the upstream no longer names a limit.
	Ended    bool                  `json:"ended,omitempty"`
	Instance sandbarrow.InstanceID `json:"instance"`
	Rate     Rate                  `json:"rate,omitempty"`
}

// Valid reports whether the fields of a record are within their bounds.
func (r *Record) Valid() bool {
	ms := limitRetention.Milliseconds()
	return r.Instance != "" && r.AgeMS >= 0 && r.AgeMS <= ms && r.Rate >= 0 && r.Rate <= maxRate &&
		r.ColdMS >= 0 && r.ColdMS <= ms && r.ColdRate >= 0 && r.ColdRate <= maxRate
}

// cold returns what a record says about a cold start.
func (r *Record) cold(now time.Time) Cold {
	return Cold{Rate: r.ColdRate, Until: now.Add(time.Duration(r.ColdMS) * time.Millisecond)}
}

// limit converts a record to a Limit.
func (r *Record) limit(now time.Time) Limit {
	return Limit{At: now.Add(-time.Duration(r.AgeMS) * time.Millisecond), Ended: r.Ended, Rate: r.Rate}
}
