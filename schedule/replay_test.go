package schedule_test

import (
	"container/heap"
	"time"

	"golang.org/x/time/rate"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/placement"
	"sandbarrow.example/sandbarrow/schedule"
	"sandbarrow.example/sandbarrow/workload"
)

const (
	maxAttempts = 3
	// reportInterval is how often upstreams report their load.
	reportInterval = 500 * time.Millisecond
	// tick is how often a runner checks deadlines and other conditions that depend on time alone.
	tick = 20 * time.Millisecond
)

// event is a function to be run at a virtual time of the replay.
type event struct {
	at time.Time
	do func(now time.Time)
	// sequence orders events of the same time by their creation.
	sequence int
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].sequence < h[j].sequence
	}
	return h[i].at.Before(h[j].at)
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// fleetReplay replays a trace of requests against the decisions of a fleet of agents, in
// virtual time, with simple models of the engines and the weight store. It models neither
// the network nor process failures.
type fleetReplay struct {
	chooser    sandbarrow.Chooser
	estate     *workload.Estate
	events     eventHeap
	fleet      *placement.Fleet
	eventCount int
	result     *replayResult
	runners    []*runner
	start      time.Time
	weights    weightStore
}

// replay replays a trace through the decisions of agents and entries.
func replay(e *workload.Estate, trace []workload.Request) *replayResult {
	fleet := placement.NewFleet()
	r := &fleetReplay{
		chooser: placement.NewAffinity(fleet),
		estate:  e,
		fleet:   fleet,
		result:  newReplayResult(trace),
		start:   time.Unix(0, 0),
		weights: newWeightStore(e),
	}
	for i := range e.Runners {
		r.runners = append(r.runners, newRunner(r, i))
	}
	for i := range trace {
		q := &trace[i]
		r.at(r.start.Add(q.At), func(now time.Time) { r.arrive(now, q) })
	}
	for r.result.open() && len(r.events) > 0 {
		next := heap.Pop(&r.events).(event)
		next.do(next.at)
	}
	r.result.sort()
	return r.result
}

func (r *fleetReplay) at(t time.Time, do func(time.Time)) {
	r.eventCount++
	heap.Push(&r.events, event{at: t, do: do, sequence: r.eventCount})
}

// arrive sends a request to its first upstream.
func (r *fleetReplay) arrive(now time.Time, q *workload.Request) {
	r.send(now, &inflightRequest{
		arrived: now,
		model:   sandbarrow.ModelRef{Adapter: q.Adapter, Version: "v1"},
		request: q,
	})
}

// inflightRequest is a request that has not ended.
type inflightRequest struct {
	arrived  time.Time
	attempts int
	exclude  sandbarrow.IndexSet
	left     int // tokens still to be generated
	model    sandbarrow.ModelRef
	request  *workload.Request
	stall    bool
	stalled  time.Duration
	ticket   *schedule.Ticket
}

func (r *fleetReplay) send(now time.Time, f *inflightRequest) {
	route := &sandbarrow.RouteRequest{
		BaseModel:   f.request.BaseModel,
		BatchWeight: r.estate.BatchWeight,
		Exclude:     &f.exclude,
		Hash:        placement.HashModel(f.model),
		Urgent:      f.request.Class.NoBatchWait,
	}
	for f.attempts < maxAttempts {
		f.attempts++
		i, ok := r.chooser.Choose(now, route)
		if !ok {
			break
		}
		f.exclude.Add(i)
		if r.runners[i].submit(now, f) {
			return
		}
	}
	r.result.refuse(now, f)
}

// weightStore models the rate-limited weight store.
type weightStore struct {
	active   int
	load     time.Duration
	limit    *rate.Limiter
	parallel float64
}

func newWeightStore(e *workload.Estate) weightStore {
	return weightStore{
		load:     e.LoadTime,
		limit:    rate.NewLimiter(rate.Limit(e.LoadsPerSecond), int(e.LoadsPerSecond)+1),
		parallel: float64(e.ParallelLoads),
	}
}

// begin starts a load. It takes longer if more loads than parallel are in progress.
func (w *weightStore) begin(now time.Time) (time.Duration, bool) {
	if !w.limit.AllowN(now, 1) {
		return 0, false
	}
	w.active++
	slowdown := max(1, float64(w.active)/w.parallel)
	return time.Duration(float64(w.load) * slowdown), true
}

func (w *weightStore) end() { w.active-- }
