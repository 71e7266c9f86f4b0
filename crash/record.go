package crash

import (
	"slices"
	"time"

	"sandbarrow.example/sandbarrow"
)

// Record is what one process tells another of a request under which upstreams have ended.
type Record struct {
	Crashes     []RecordedCrash `json:"crashes"`
	Fingerprint Fingerprint     `json:"fingerprint"`
}

// RecordedCrash is one Crash of a Record.
type RecordedCrash struct {
	// AgeMS is how long ago the attempt broke, in milliseconds when the Record was made.
	AgeMS    int64                 `json:"age_ms"`
	Cleared  bool                  `json:"cleared,omitempty"`
	Upstream sandbarrow.InstanceID `json:"upstream"`
}

// Aged is the record as it is some milliseconds later.
func (r Record) Aged(ms int64) Record {
	r.Crashes = slices.Clone(r.Crashes)
	for i := range r.Crashes {
		r.Crashes[i].AgeMS += ms
	}
	return r
}

// Uncleared counts the ends that are not cleared.
func (r *Record) Uncleared() int {
	n := 0
	for i := range r.Crashes {
		if !r.Crashes[i].Cleared {
			n++
		}
	}
	return n
}

// age is how long ago the attempt broke, or false where that is no age that is kept.
func (r *RecordedCrash) age() (time.Duration, bool) {
	age := time.Duration(r.AgeMS) * time.Millisecond
	return age, r.AgeMS >= 0 && r.AgeMS <= keepFor.Milliseconds() && r.Upstream != ""
}
