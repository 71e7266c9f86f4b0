package schedule_test

import (
	"slices"
	"time"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/workload"
)

// warmup is excluded from the measurements, as all slots are loaded for the first time.
const warmup = 2 * time.Minute

// replayResult holds the measurements of a replay. Its times are sorted at the end.
type replayResult struct {
	all        int
	ended      int
	refusals   []time.Duration
	refused    int
	refusedBy  map[sandbarrow.CallerClass]int
	requestsBy map[sandbarrow.CallerClass]int
	// stalls counts requests whose adapter was not loaded when they arrived.
	stalls int
	// stallTime is the total time that requests waited for their adapter to load.
	stallTime time.Duration
	// waits are the times from arrival to start.
	waits   []time.Duration
	waitsBy map[sandbarrow.CallerClass][]time.Duration
}

func newReplayResult(trace []workload.Request) *replayResult {
	r := &replayResult{
		all:        len(trace),
		refusedBy:  map[sandbarrow.CallerClass]int{},
		requestsBy: map[sandbarrow.CallerClass]int{},
		waitsBy:    map[sandbarrow.CallerClass][]time.Duration{},
	}
	for i := range trace {
		if trace[i].At >= warmup {
			r.requestsBy[trace[i].Class.Class]++
		}
	}
	return r
}

// begin counts a request that starts to run for the first time.
func (r *replayResult) begin(now time.Time, f *inflightRequest) {
	if f.request.At < warmup {
		return
	}
	wait := now.Sub(f.arrived)
	r.waits = append(r.waits, wait)
	class := f.request.Class.Class
	r.waitsBy[class] = append(r.waitsBy[class], wait)
	r.stallTime += f.stalled
	r.countStall(f)
}

func (r *replayResult) countStall(f *inflightRequest) {
	if f.stall {
		r.stalls++
	}
}

func (r *replayResult) end() { r.ended++ }

// open reports whether any request of the trace has not ended yet.
func (r *replayResult) open() bool { return r.ended < r.all }

func (r *replayResult) refuse(now time.Time, f *inflightRequest) {
	r.ended++
	if f.request.At < warmup {
		return
	}
	r.refused++
	r.refusals = append(r.refusals, now.Sub(f.arrived))
	r.refusedBy[f.request.Class.Class]++
	r.countStall(f)
}

// refusedShare returns the share of a class's requests that were refused.
func (r *replayResult) refusedShare(class sandbarrow.CallerClass) float64 {
	return float64(r.refusedBy[class]) / float64(max(1, r.requestsBy[class]))
}

func (r *replayResult) sort() {
	slices.Sort(r.waits)
	slices.Sort(r.refusals)
	for _, w := range r.waitsBy {
		slices.Sort(w)
	}
}

func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}
