package quota

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sandbarrow.example/sandbarrow/access"
	"sandbarrow.example/sandbarrow/internal/storetest"
	"sandbarrow.example/sandbarrow/lease"
	"sandbarrow.example/sandbarrow/store"
)

// This file plays leaders, gateways, their messages and the store in a small world, and
// checks the operators' sum in every window of what was used, whatever is delayed, lost,
// frozen, killed or taken over. Each rule that the sum rests on is broken in turn
// (mutation), and the check must find it.

// mutation is a rule that the world leaves out.
type mutation string

const (
	noMutation mutation = ""
	// lifeFromAnswer counts a grant's life from when the answer came.
	lifeFromAnswer mutation = "life counted from the answer"
	// beginFull lets a leader that takes over begin with all that may be used at once.
	beginFull mutation = "a term begins full"
	// noLease lets a leader grant without looking at its lease.
	noLease mutation = "a lapsed lease is not noticed"
)

const (
	modelTTL     = 1500 * time.Millisecond
	modelLeaders = 2
)

var (
	modelBound = Bound{Overage: 0.1, Slack: 4, Window: 4 * time.Second}
	modelHigh  = access.Limit{Burst: 20, PerSecond: 20, Unit: access.UnitRequests}
	modelLow   = access.Limit{Burst: 8, PerSecond: 8, Unit: access.UnitRequests}
)

// modelLeader is a process that may lead. A killed one starts anew.
type modelLeader struct {
	granter *Granter
	holder  *lease.Holder
	term    Term
}

// flight is a grant on its way to its gateway.
type flight struct {
	asked, answered time.Time
	grant           Grant
}

type use struct{ at time.Time }

// world is one run.
type world struct {
	fault   storetest.Fault
	flights []flight
	leaders [modelLeaders]*modelLeader
	limit   access.Limit
	// lowered is when the limit was lowered; zero before.
	lowered time.Time
	now     time.Time
	rule    mutation
	store   *storetest.Store
	used    []use
}

func newWorld(rule mutation) *world {
	w := &world{limit: modelHigh, now: time.Unix(1000, 0), rule: rule}
	w.store = &storetest.Store{
		Below: store.NewMemory(store.WithMemoryClock(w.clock)),
		Next:  func() storetest.Fault { return w.fault },
	}
	for i := range w.leaders {
		w.start(i)
	}
	return w
}

func (w *world) clock() time.Time { return w.now }

func (w *world) start(i int) {
	quiet := slog.New(slog.DiscardHandler)
	w.leaders[i] = &modelLeader{holder: lease.NewHolder(w.store, "shard", modelTTL, quiet, lease.WithClock(w.clock))}
}

// renew makes one step of a leader at the store, and begins a term where it holds the
// lease anew.
func (w *world) renew(i int, f storetest.Fault) {
	l := w.leaders[i]
	w.fault = f
	_ = l.holder.Step(context.Background()) // what it knows is what Check says
	w.fault = storetest.None
	held := l.holder.Check()
	if held.State != lease.Held || l.granter != nil && l.term == held.Token {
		return
	}
	l.granter, l.term = NewGranter(modelBound, w.now), held.Token
	if w.rule == beginFull {
		l.granter.since = w.now.Add(-time.Hour)
	}
}

// holds reports whether a leader may grant.
func (w *world) holds(l *modelLeader) bool {
	if l.granter == nil {
		return false
	}
	held := l.holder.Check()
	return w.rule == noLease || held.State == lease.Held && held.Token == l.term
}

// ask makes gateways ask a leader for requests of one unit until it refuses one.
func (w *world) ask(i int) {
	l := w.leaders[i]
	for w.holds(l) {
		g := l.granter.Ask(w.now, "red", &w.limit, 1)
		if !g.Granted {
			return
		}
		w.flights = append(w.flights, flight{asked: w.now, answered: w.now, grant: g})
	}
}

// deliver brings the grants on their way to their gateways, which use them.
func (w *world) deliver() {
	for _, f := range w.flights {
		from := f.asked
		if w.rule == lifeFromAnswer {
			from = w.now
		}
		if w.now.Sub(from) < f.grant.Life {
			w.used = append(w.used, use{at: w.now})
		}
	}
	w.flights = nil
}

func (w *world) lower() {
	if w.lowered.IsZero() {
		w.limit, w.lowered = modelLow, w.now
	}
}

// actions of the world; the first ones cost least to reach what may go wrong.
var actions = []func(w *world){
	func(w *world) { w.now = w.now.Add(300 * time.Millisecond) },
	func(w *world) { w.now = w.now.Add(1600 * time.Millisecond) },
	func(w *world) { w.ask(0); w.deliver() },
	func(w *world) { w.ask(1); w.deliver() },
	func(w *world) { w.renew(0, storetest.None) },
	func(w *world) { w.renew(1, storetest.None) },
	func(w *world) { w.ask(0) },
	func(w *world) { w.deliver() },
	func(w *world) { w.renew(0, storetest.Lost) },
	func(w *world) { w.start(0) },
	func(w *world) { w.lower() },
	func(w *world) { w.flights = nil },
	func(w *world) { w.renew(1, storetest.Swallowed) },
	func(w *world) { w.ask(1) },
}

// violation returns what a window that ends with the last use has too much, or "".
func (w *world) violation() string {
	for i := range w.used {
		end := w.used[i].at
		from, n := end.Add(-modelBound.Window), 0
		for _, u := range w.used {
			if u.at.After(from) && !u.at.After(end) {
				n++
			}
		}
		limit := &modelHigh
		if !w.lowered.IsZero() && !from.Before(w.lowered.Add(usualLife)) {
			limit = &modelLow
		}
		if most := modelBound.allowed(limit) / LimitShares; float64(n) > most {
			return fmt.Sprintf("%d used in the window up to %v, %v allowed", n, end.Sub(time.Unix(1000, 0)), most)
		}
	}
	return ""
}

// run plays a random world: leaders renew and are asked all the time, but where they are
// frozen, their calls are lost or they are killed. Each seed has rates of its own, so that
// some worlds hold answers back for long and others never do.
func run(rule mutation, seed uint64, steps int) *world {
	r := rand.New(rand.NewPCG(seed, 0))
	rate := func() float64 { return []float64{0, 0.02, 0.2, 0.7}[r.IntN(4)] }
	asks, delivers, faults, freezes, kills := 0.1+rate(), 0.05+rate(), rate(), rate()/10, rate()/3
	var frozen [modelLeaders]time.Time
	w := newWorld(rule)
	for step := range steps {
		w.now = w.now.Add(time.Duration(20+r.IntN(180)) * time.Millisecond)
		for i := range w.leaders {
			switch {
			case r.Float64() < kills:
				if r.IntN(2) == 0 {
					w.leaders[i].holder.Release() // a planned stop
				}
				w.start(i)
			case r.Float64() < freezes:
				frozen[i] = w.now.Add(time.Duration(r.IntN(4000)) * time.Millisecond)
			}
			if w.now.Before(frozen[i]) {
				continue
			}
			if r.Float64() < asks {
				w.ask(i)
			}
			fault := storetest.None
			if r.Float64() < faults {
				fault = storetest.Fault(r.IntN(4))
			}
			w.renew(i, fault)
			if r.Float64() < asks {
				w.ask(i)
			}
		}
		if r.Float64() < delivers {
			w.deliver()
		}
		if step == steps/2 && seed%2 == 0 {
			w.lower()
		}
	}
	return w
}

// In random long runs no window ever has more than the operators allow.
func TestWindowsKeepTheBound(t *testing.T) {
	used := 0
	for seed := range uint64(2000) {
		w := run(noMutation, seed, 300)
		if v := w.violation(); v != "" {
			t.Fatalf("seed %d: %s", seed, v)
		}
		used += len(w.used)
	}
	assert.Assert(t, used > 100_000, "%d: what is never used shows nothing", used)
}

// All orders of a few actions: SANDBARROW_MODEL_DEPTH says how many, 5 by default.
func TestAllShortRunsKeepTheBound(t *testing.T) {
	depth := 5
	if text := os.Getenv("SANDBARROW_MODEL_DEPTH"); text != "" {
		var err error
		depth, err = strconv.Atoi(text)
		assert.NilError(t, err)
	}
	if v := explore(noMutation, nil, depth); v != "" {
		t.Fatal(v)
	}
}

// explore plays all runs that begin with some actions and have so many more, and returns
// the first that goes wrong.
func explore(rule mutation, begun []int, more int) string {
	w := newWorld(rule)
	w.renew(0, storetest.None)
	w.now = w.now.Add(time.Second)
	for _, a := range begun {
		actions[a](w)
	}
	if v := w.violation(); v != "" {
		return fmt.Sprintf("%v: %s", begun, v)
	}
	if more == 0 {
		return ""
	}
	for a := range actions {
		if v := explore(rule, append(begun[:len(begun):len(begun)], a), more-1); v != "" {
			return v
		}
	}
	return ""
}

// Each rule that is left out is found.
func TestEachRuleIsNeeded(t *testing.T) {
	for _, rule := range []mutation{lifeFromAnswer, beginFull, noLease} {
		found := 0
		for seed := range uint64(1000) {
			if run(rule, seed, 300).violation() != "" {
				found++
			}
		}
		t.Logf("%s: found in %d of 1,000 runs", rule, found)
		assert.Assert(t, found > 0, "%s: not found", rule)
	}
}
