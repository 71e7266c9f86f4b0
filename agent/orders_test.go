package agent

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/evict"
	"sandbarrow.example/sandbarrow/internal/await"
	"sandbarrow.example/sandbarrow/internal/boottime"
	"sandbarrow.example/sandbarrow/lease"
	"sandbarrow.example/sandbarrow/loadbudget"
	"sandbarrow.example/sandbarrow/platform"
	"sandbarrow.example/sandbarrow/queueorder"
	"sandbarrow.example/sandbarrow/schedule"
	"sandbarrow.example/sandbarrow/settings"
	"sandbarrow.example/sandbarrow/store"
)

var testModel = sandbarrow.ModelRef{Adapter: "a", Version: "v1"}

// fakeEngine tells a state and counts loads.
type fakeEngine struct {
	sandbarrow.Engine
	loads int
	state sandbarrow.UpstreamState
}

func (f *fakeEngine) Load(context.Context, sandbarrow.Order) error {
	f.loads++
	return nil
}

func (f *fakeEngine) State(context.Context) (sandbarrow.UpstreamState, error) {
	return f.state, nil
}

// restartedAgent is an agent whose engine restarted while an order was under way. The
// agent drains, so that it gives no order of its own.
func restartedAgent(t *testing.T, engine *fakeEngine) (*Agent, schedule.Order) {
	a := &Agent{
		admissions: newAdmissions("u", platform.UpstreamNotices{}, slog.New(slog.DiscardHandler)),
		budget:     loadbudget.NewBackoff(10, 1),
		draining:   true,
		engine:     engine,
		lease:      heldLease(t),
		logger:     slog.New(slog.DiscardHandler),
		runCtx:     t.Context(),
		scheduler: schedule.New(schedule.Options{
			Evictor: evict.NewCost(), MaxQueued: 10, MaxRunning: 4, Order: queueorder.Aged{Step: time.Second}, Slots: 2,
		}),
		settings: &settings.Settings{Agent: &settings.Agent{}},
		waiting:  make(chan struct{}, 1),
	}
	a.metrics = newMetrics(prometheus.NewRegistry(), a)
	now := boottime.Now()
	a.adopt(now, sandbarrow.UpstreamState{Start: "first"})
	ticket := &schedule.Ticket{Arrived: now, Deadline: now.Add(time.Minute), Model: testModel}
	assert.NilError(t, a.scheduler.Submit(now, ticket))
	o, ok := a.scheduler.NextOrder(now, true)
	assert.Assert(t, ok)
	a.scheduler.BeginOrder(now, o)
	a.scheduler.Remove(ticket)
	a.adopt(now, sandbarrow.UpstreamState{Start: "second"})
	return a, o
}

func heldLease(t *testing.T) *lease.Holder {
	h := lease.NewHolder(store.NewMemory(), "lease", time.Minute, slog.New(slog.DiscardHandler))
	go func() { _ = h.Run(t.Context()) }()
	await.Until(t, 5*time.Second, "lease held", func() bool { return h.Check().State == lease.Held })
	return h
}

func (a *Agent) holds() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.scheduler.Resident())
}

func TestOrderMissesNextStart(t *testing.T) {
	engine := &fakeEngine{state: sandbarrow.UpstreamState{Start: "second"}}
	a, o := restartedAgent(t, engine)
	a.execute(o)
	assert.Equal(t, engine.loads, 0)
	assert.Equal(t, a.holds(), 0)
}

func TestLoadAcrossRestartIsLookedUp(t *testing.T) {
	engine := &fakeEngine{state: sandbarrow.UpstreamState{Start: "second"}}
	a, o := restartedAgent(t, engine)
	a.endOrder(o, nil)
	assert.Equal(t, a.holds(), 0)

	engine = &fakeEngine{state: sandbarrow.UpstreamState{Start: "second", Loaded: map[sandbarrow.ModelRef]int{testModel: 0}}}
	a, o = restartedAgent(t, engine)
	a.endOrder(o, nil)
	await.Until(t, 5*time.Second, "the engine's list is taken in", func() bool { return a.holds() == 1 })
}

func TestListOfAnotherStart(t *testing.T) {
	engine := &fakeEngine{state: sandbarrow.UpstreamState{Start: "first", Loaded: map[sandbarrow.ModelRef]int{testModel: 0}}}
	a, o := restartedAgent(t, engine)
	a.scheduler.Postpone(boottime.Now(), o)
	a.adoptUnknown(t.Context())
	assert.Equal(t, a.holds(), 0)
}
