package schedule_test

import (
	"fmt"
	"time"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/evict"
	"sandbarrow.example/sandbarrow/loadbudget"
	"sandbarrow.example/sandbarrow/placement"
	"sandbarrow.example/sandbarrow/queueorder"
	"sandbarrow.example/sandbarrow/schedule"
)

const (
	// agingStep is the value that agents use.
	agingStep = 5 * time.Second
	// maxQueued bounds the waiting requests of a runner, with the value that agents use.
	maxQueued = 4096
)

// runner models an engine that follows the decisions of its agent.
type runner struct {
	budget    sandbarrow.LoadBudget
	inflight  map[*schedule.Ticket]*inflightRequest
	index     int
	replay    *fleetReplay
	retryAt   time.Time
	running   []*inflightRequest
	scheduler *schedule.Scheduler
	stepping  bool
}

func newRunner(r *fleetReplay, i int) *runner {
	e := r.estate
	u := &runner{
		budget:   loadbudget.NewBackoff(e.LoadsPerSecond, e.ParallelLoads),
		inflight: map[*schedule.Ticket]*inflightRequest{},
		replay:   r,
		scheduler: schedule.New(schedule.Options{
			Evictor:    evict.NewCost(),
			MaxQueued:  maxQueued,
			MaxRunning: e.MaxRunning,
			Order:      queueorder.Aged{Step: agingStep},
			Slots:      e.Slots,
		}),
	}
	u.index = r.fleet.Add(placement.Info{
		BaseModel:     e.BaseModelOf(i),
		FailureDomain: sandbarrow.FailureDomain(fmt.Sprint(i % e.Domains)),
		ID:            sandbarrow.UpstreamID(fmt.Sprintf("runner-%d", i)),
		MaxRunning:    e.MaxRunning,
	})
	// Runners report and tick at staggered times, as separate boxes do.
	offset := time.Duration(i) * reportInterval / time.Duration(e.Runners)
	u.every(r.start.Add(offset), reportInterval, u.report)
	u.every(r.start.Add(offset%tick), tick, u.advance)
	return u
}

func (u *runner) every(at time.Time, interval time.Duration, do func(time.Time)) {
	u.replay.at(at, func(now time.Time) {
		do(now)
		u.every(now.Add(interval), interval, do)
	})
}

// report updates the fleet as an agent's status does.
func (u *runner) report(now time.Time) {
	st := u.scheduler.Stats(now)
	u.replay.fleet.SetLoad(u.index, placement.Load{LoadTime: st.LoadWait, Queued: st.Queued, Running: st.Running, ServiceTime: st.RunTime})
	resident := u.scheduler.Resident()
	hashes := make([]uint64, len(resident))
	for i, m := range resident {
		hashes[i] = placement.HashModel(m)
	}
	u.replay.fleet.SetResident(u.index, hashes)
}

// submit queues a request, or returns false when the scheduler refuses it.
func (u *runner) submit(now time.Time, f *inflightRequest) bool {
	f.ticket = &schedule.Ticket{
		Arrived:     now,
		Deadline:    f.arrived.Add(u.replay.estate.Deadline),
		Model:       f.model,
		NoBatchWait: f.request.Class.NoBatchWait,
		Priority:    f.request.Class.Priority,
	}
	if u.scheduler.Submit(now, f.ticket) != nil {
		return false
	}
	f.left = f.request.Tokens
	f.stall = f.stall || f.ticket.Stall
	u.inflight[f.ticket] = f
	u.replay.fleet.Begin(u.index)
	u.advance(now)
	return true
}

// drop removes a request that ended or failed at this runner.
func (u *runner) drop(f *inflightRequest) {
	delete(u.inflight, f.ticket)
	u.replay.fleet.End(u.index)
}

func (u *runner) advance(now time.Time) {
	for _, t := range u.scheduler.DropUnmeetable(now) {
		f := u.inflight[t]
		u.drop(f)
		u.replay.result.refuse(now, f)
	}
	for t := u.scheduler.NextStart(now); t != nil; t = u.scheduler.NextStart(now) {
		f := u.inflight[t]
		f.stalled += t.StallTime
		u.running = append(u.running, f)
		u.replay.result.begin(now, f)
	}
	if len(u.running) > 0 && !u.stepping {
		u.stepping = true
		u.replay.at(now.Add(u.replay.estate.StepTime), u.step)
	}
	u.startLoads(now)
}

// step generates one token for each running request.
func (u *runner) step(now time.Time) {
	u.stepping = false
	unfinished := u.running[:0]
	for _, f := range u.running {
		f.left--
		if f.left > 0 {
			unfinished = append(unfinished, f)
			continue
		}
		u.scheduler.Finish(now, f.ticket)
		u.drop(f)
		u.replay.result.end()
	}
	u.running = unfinished
	u.advance(now)
}

// startLoads starts the loads that the budget permits.
func (u *runner) startLoads(now time.Time) {
	for !now.Before(u.retryAt) {
		o, ok := u.scheduler.NextOrder(now, true)
		if !ok {
			return
		}
		ok, wait := u.budget.Acquire(now)
		if !ok {
			u.retryAt = now.Add(wait)
			return
		}
		u.scheduler.BeginOrder(now, o)
		u.scheduler.EvictDone(o, true)
		u.load(now, o)
	}
}

func (u *runner) load(now time.Time, o schedule.Order) {
	r := u.replay
	duration, ok := r.weights.begin(now)
	if !ok {
		u.budget.Release(now, true)
		u.scheduler.Postpone(now, o)
		return
	}
	r.at(now.Add(duration), func(now time.Time) {
		r.weights.end()
		u.budget.Release(now, false)
		u.scheduler.LoadDone(now, o, true)
		u.advance(now)
	})
}
