package schedule

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/evict"
	"sandbarrow.example/sandbarrow/queueorder"
)

// engine carries out what a Scheduler decides, in virtual time, and checks it.
type engine struct {
	loadTime time.Duration
	loading  map[sandbarrow.ModelRef]time.Time
	mayEvict bool
	now      time.Time
	orders   map[sandbarrow.ModelRef]Order
	running  map[*Ticket]time.Time // until
	runTime  time.Duration
	s        *Scheduler
	started  int
	t        assert.TestingT
}

func newEngine(t assert.TestingT, slots, maxRunning int) *engine {
	return &engine{
		loadTime: 50 * time.Millisecond,
		loading:  map[sandbarrow.ModelRef]time.Time{},
		mayEvict: true,
		now:      time.Unix(1000, 0),
		orders:   map[sandbarrow.ModelRef]Order{},
		running:  map[*Ticket]time.Time{},
		runTime:  500 * time.Millisecond,
		s: New(Options{
			Evictor: evict.NewCost(), MaxQueued: 1000, MaxRunning: maxRunning,
			Order: queueorder.Aged{Step: 5 * time.Second}, Slots: slots,
		}),
		t: t,
	}
}

func (e *engine) submit(model, priority int, deadline time.Duration) *Ticket {
	t := &Ticket{Arrived: e.now, Deadline: e.now.Add(deadline), Model: ref(model), Priority: priority}
	if err := e.s.Submit(e.now, t); err != nil {
		t.State = TicketEnded
	}
	return t
}

func ref(i int) sandbarrow.ModelRef {
	return sandbarrow.ModelRef{Adapter: sandbarrow.AdapterID(fmt.Sprint("a", i)), Version: "v1"}
}

// pass lets time pass and does all that is due.
func (e *engine) pass(d time.Duration) {
	const step = 10 * time.Millisecond
	for end := e.now.Add(d); e.now.Before(end); e.now = e.now.Add(step) {
		e.due()
	}
}

func (e *engine) due() {
	for t, until := range e.running {
		if !e.now.Before(until) {
			e.s.Finish(e.now, t)
			delete(e.running, t)
		}
	}
	for model, until := range e.loading {
		if !e.now.Before(until) {
			e.s.LoadDone(e.now, e.orders[model], true)
			delete(e.loading, model)
		}
	}
	e.s.DropUnmeetable(e.now)
	for t := e.s.NextStart(e.now); t != nil; t = e.s.NextStart(e.now) {
		e.running[t] = e.now.Add(e.runTime)
		e.started++
	}
	for o, ok := e.s.NextOrder(e.now, e.mayEvict); ok; o, ok = e.s.NextOrder(e.now, e.mayEvict) {
		for t := range e.running {
			assert.Assert(e.t, t.Model != o.Evict, "%s is evicted under a running request", o.Evict)
		}
		e.s.BeginOrder(e.now, o)
		e.s.EvictDone(o, true)
		e.loading[o.Model], e.orders[o.Model] = e.now.Add(e.loadTime), o
	}
	assert.Assert(e.t, len(e.s.slots) <= e.s.options.Slots, "more adapters than slots")
}

func TestAllTicketsEnd(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		e := newEngine(rt, rapid.IntRange(1, 3).Draw(rt, "slots"), rapid.IntRange(1, 4).Draw(rt, "running"))
		var tickets []*Ticket
		for range rapid.IntRange(1, 40).Draw(rt, "requests") {
			tickets = append(tickets, e.submit(rapid.IntRange(0, 5).Draw(rt, "model"), rapid.IntRange(0, 2).Draw(rt, "priority"), time.Hour))
			e.pass(time.Duration(rapid.IntRange(0, 300).Draw(rt, "pause")) * time.Millisecond)
			if rapid.IntRange(0, 3).Draw(rt, "revoke") == 0 {
				e.s.Remove(tickets[rapid.IntRange(0, len(tickets)-1).Draw(rt, "revoked")])
			}
		}
		e.pass(60 * time.Second)
		for i, ticket := range tickets {
			assert.Assert(rt, ticket.State == TicketEnded, "request %d of %d is in state %d", i, len(tickets), ticket.State)
		}
		assert.Equal(rt, e.s.Stats(e.now).Queued, 0)
	})
}

func TestColdGroupGetsASlot(t *testing.T) {
	e := newEngine(t, 1, 4)
	e.runTime = 100 * time.Millisecond
	cold := &Ticket{}
	for i := range 100 {
		e.submit(0, 0, time.Minute) // the only slot is never idle
		if i == 20 {
			cold = e.submit(1, 2, time.Minute)
		}
		e.pass(50 * time.Millisecond)
	}
	assert.Assert(t, !cold.Started.IsZero(), "the cold adapter was starved")
	assert.Assert(t, cold.Started.Sub(cold.Arrived) < 3*time.Second)
}

func TestFinishAfterReset(t *testing.T) {
	e := newEngine(t, 1, 4)
	e.runTime = time.Hour
	old := e.submit(0, 0, 2*time.Hour)
	e.pass(time.Second)
	assert.Equal(t, old.State, TicketRunning)
	e.s.Reset(e.now, []sandbarrow.ModelRef{ref(0)}, time.Time{})
	delete(e.running, old)
	e.submit(0, 0, 2*time.Hour)
	e.pass(time.Second)
	e.s.Finish(e.now, old)
	e.submit(1, 0, 2*time.Hour)
	e.pass(2 * time.Second) // the engine checks that nothing is evicted under a run
	assert.Equal(t, len(e.running), 1)
}

func TestNothingIsDrainedInVain(t *testing.T) {
	e := newEngine(t, 1, 4)
	e.runTime = 100 * time.Millisecond
	e.submit(0, 0, time.Minute)
	e.pass(time.Second)
	e.runTime = 3 * time.Second
	e.submit(0, 0, time.Minute)
	cold := e.submit(1, 0, time.Minute)
	e.pass(1500 * time.Millisecond) // the busy adapter is drained by now
	assert.Equal(t, cold.State, TicketWaiting)
	e.mayEvict, e.runTime = false, 100*time.Millisecond
	var served *Ticket
	for range 100 {
		served = e.submit(0, 0, 5*time.Second)
		e.pass(50 * time.Millisecond)
	}
	e.pass(time.Second)
	assert.Equal(t, served.State, TicketEnded)
	assert.Assert(t, !served.Started.IsZero(), "the busy adapter was drained")
	assert.Equal(t, cold.State, TicketWaiting)
}

func TestDrainedSlotReturns(t *testing.T) {
	e := newEngine(t, 1, 1)
	e.runTime = 4 * time.Second
	e.submit(0, 0, time.Minute)
	e.pass(200 * time.Millisecond)
	wanted := e.submit(1, 0, time.Minute)
	e.pass(1200 * time.Millisecond) // the busy adapter is drained by now
	e.s.Remove(wanted)
	last := e.submit(0, 0, time.Minute)
	e.pass(15 * time.Second)
	assert.Equal(t, last.State, TicketEnded)
}

func TestRefusesAtOnce(t *testing.T) {
	for name, tc := range map[string]struct {
		arrange  func(e *engine)
		deadline time.Duration
		refused  bool
	}{
		"idle":             {func(*engine) {}, 5 * time.Second, false},
		"no time to load":  {func(*engine) {}, 500 * time.Millisecond, true},
		"loaded":           {func(e *engine) { e.submit(9, 0, time.Minute); e.pass(time.Second) }, 500 * time.Millisecond, false},
		"long queue":       {func(e *engine) { e.runTime = 10 * time.Second; e.fill(60) }, 5 * time.Second, true},
		"after the burden": {func(e *engine) { e.fill(60); e.pass(time.Minute) }, 5 * time.Second, false},
	} {
		t.Run(name, func(t *testing.T) {
			e := newEngine(t, 1, 4)
			tc.arrange(e)
			err := e.s.Submit(e.now, &Ticket{Arrived: e.now, Deadline: e.now.Add(tc.deadline), Model: ref(9)})
			assert.Equal(t, err != nil, tc.refused, "%v", err)
		})
	}
}

func (e *engine) fill(n int) {
	for i := range n {
		e.submit(i%4, 0, 5*time.Minute)
		e.pass(10 * time.Millisecond)
	}
}
