package engineload

import "time"

const (
	// minSampleInterval is the shortest interval between two reports that are compared. Over a
	// shorter one, most streams have made no event or one.
	minSampleInterval = 200 * time.Millisecond
	// maxSampleInterval is the longest one. After a longer one, too few runs are in both reports.
	maxSampleInterval = 2 * time.Second
	// maxPrefillShare bounds the share of an interval that counts as spent on prompts.
	maxPrefillShare = 0.7
)

// RunID identifies a run at an engine.
type RunID string

// Sample is what two reports say about the time between two events.
type Sample struct {
	// EventTime is the mean time between two events of the streams that ran all the time.
	EventTime time.Duration
	// Running is the mean number of running requests.
	Running float64
}

// Sampler compares successive reports of one engine. Its zero value has seen none. It is not safe
// for concurrent use.
type Sampler struct {
	at     time.Time
	events map[RunID]int
}

// Add adds a report: the events that each run has made. prefill is the time that the engine has
// spent on prompts since the last sample. It returns false if the report yields no sample yet; the
// prefill time then belongs to the next one.
func (s *Sampler) Add(now time.Time, events map[RunID]int, prefill time.Duration) (Sample, bool) {
	interval := now.Sub(s.at)
	if s.events != nil && interval < minSampleInterval {
		return Sample{}, false
	}
	last := s.events
	s.at, s.events = now, events
	if last == nil || interval > maxSampleInterval {
		return Sample{}, false
	}
	made, streams := 0, 0
	for id, n := range events {
		before, both := last[id]
		// A run without an event is still being prefilled, and one that made none has been
		// preempted or has ended.
		if both && before > 0 && n > before {
			made += n - before
			streams++
		}
	}
	if streams == 0 {
		return Sample{}, false
	}
	prefill = min(max(prefill, 0), time.Duration(maxPrefillShare*float64(interval)))
	return Sample{
		EventTime: (interval - prefill) * time.Duration(streams) / time.Duration(made),
		Running:   float64(len(last)+len(events)) / 2,
	}, true
}

// Interval returns the time since the report that the next one is compared with.
func (s *Sampler) Interval(now time.Time) time.Duration {
	return now.Sub(s.at)
}

// Reset forgets the last report, as after a restart of the engine.
func (s *Sampler) Reset() {
	*s = Sampler{}
}
