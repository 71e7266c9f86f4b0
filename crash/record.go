package crash

import (
	"slices"
	"time"

	"sandbarrow.example/sandbarrow"
)

// Record holds the crashes of one request, as one process sends them to another.
type Record struct {
	Crashes     []RecordedCrash `json:"crashes"`
	Fingerprint Fingerprint     `json:"fingerprint"`
	// Proven says that an upstream had responded to a request with the part before the first crash.
	Proven bool `json:"proven,omitempty"`
}

// RecordedCrash is one Crash of a Record.
type RecordedCrash struct {
	// AgeMS is how long before the creation of the Record the attempt failed, in milliseconds.
	AgeMS   int64 `json:"age_ms"`
	Cleared bool  `json:"cleared,omitempty"`
	// SentMS is how long before the creation of the Record the last request with a part was sent that
	// the crash broke, in milliseconds. It is 0 for a crash under a whole request.
	SentMS   int64                 `json:"sent_ms,omitempty"`
	Upstream sandbarrow.InstanceID `json:"upstream"`
}

// Aged returns a copy of the record that is ms milliseconds older.
func (r Record) Aged(ms int64) Record {
	r.Crashes = slices.Clone(r.Crashes)
	for i := range r.Crashes {
		r.Crashes[i].AgeMS += ms
		if r.Crashes[i].SentMS > 0 {
			r.Crashes[i].SentMS += ms
		}
	}
	return r
}

// Uncleared counts the crashes that are not cleared.
func (r *Record) Uncleared() int {
	n := 0
	for i := range r.Crashes {
		if !r.Crashes[i].Cleared {
			n++
		}
	}
	return n
}

// crash returns the crash as of a time, or false if it is malformed or older than the retention.
func (r *RecordedCrash) crash(now time.Time) (Crash, bool) {
	age, ok := r.age()
	c := Crash{At: now.Add(-age), Cleared: r.Cleared, Upstream: r.Upstream}
	if r.SentMS > 0 {
		c.Sent = now.Add(-time.Duration(r.SentMS) * time.Millisecond)
	}
	return c, ok
}

// age returns how long ago the attempt failed, or false if the crash is malformed or older
// than the retention.
func (r *RecordedCrash) age() (time.Duration, bool) {
	age := time.Duration(r.AgeMS) * time.Millisecond
	return age, r.AgeMS >= 0 && r.AgeMS <= retention.Milliseconds() && r.Upstream != ""
}
