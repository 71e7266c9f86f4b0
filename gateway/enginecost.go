package gateway

import (
	"slices"
	"time"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/enginelink"
	"sandbarrow.example/sandbarrow/loadtime"
	"sandbarrow.example/sandbarrow/readspeed"
)

// This file is the cost of an engine for a request: one sum of expected delays and
// of prices in the same unit. It holds the constants of the choice and the pure
// functions that use them; choose.go compares the costs.

// Properties of the engines, as time. How fast an
// engine reads is learnt (package readspeed), how long a load takes too (loadmodel.go).
const (
	// runningDelay is what each running request slows another.
	runningDelay = 3 * time.Millisecond
	// recallDelay is the time to load an adapter from the engine's own memory: 0.03 s
	// (docs/design/platform.md), with the order.
	recallDelay = 40 * time.Millisecond
	// replaceDelay is the time until the runs on an older version have ended.
	replaceDelay = 900 * time.Millisecond
	// slotDelay is the time until one slot comes free.
	slotDelay = 600 * time.Millisecond
)

// Prices: what a choice costs others or the operators, as the delay that is worth
// as much.
const (
	// copyDelay is the price of another copy of an adapter that another engine has: its
	// slot and its share of the weight store.
	copyDelay = 500 * time.Millisecond
	// mostContention bounds how much contention at the weight store raises copyDelay: an
	// engine that has many requests behind it needs a copy all the same, as after a loss of power.
	mostContention = 2
	// lateDelay is the price of an answer that is expected to miss its objective: as much
	// as it loses.
	lateDelay = 900 * time.Millisecond
	// lateShare is the share of the objective that an expected answer may take. The rest is
	// for what the estimate leaves out.
	lateShare = 0.85
	// domainDelay is the price of another failure domain: 4 ms on the way, and bytes of a
	// stream that are worth 11 ms at the users' prices.
	domainDelay = 12 * time.Millisecond
	// blindDelay is the price of not knowing what an engine does whose controller is not linked.
	blindDelay = 250 * time.Millisecond
	// blindRunningFactor: without a status only this gateway's own requests are known; each stands
	// for so many.
	blindRunningFactor = 3
)

// spareLeast is how many more prompt tokens may always wait at a chosen engine than were
// known: another choice takes its time too.
const spareLeast = 1500

// fleetSurvey is what a choice knows of all candidates together.
type fleetSurvey struct {
	// copyDelay is the price of another copy of the adapter now.
	copyDelay time.Duration
	// loadDelay is the time of a load with those under way now.
	loadDelay time.Duration
	// speed is that of a typical engine.
	speed readspeed.Speed
	// newest is the newest version of the adapter that an engine holds.
	newest sandbarrow.AdapterVersion
	// sources are where most of the prompt is kept.
	sources keptSources
}

// surveyFleet finds which candidates hold the adapter, and what a load takes now.
func surveyFleet(list []candidate, n *need) fleetSurvey {
	copies := 0
	loading := 0
	for i := range list {
		e := &list[i]
		e.held = e.holds(n)
		e.recallable = e.recallable && e.linked && !e.held
		if e.held || e.recallable {
			copies++
		}
		if e.linked {
			loading += e.loadsUnderWay()
		}
	}
	f := surveyOf(copies, loading, n.loads(loading))
	f.newest, f.sources, f.speed = newestHeld(list), sourcesOf(list, n), typicalSpeed(list)
	return f
}

// newestHeld is the newest version of the adapter that a linked engine has loaded.
func newestHeld(list []candidate) sandbarrow.AdapterVersion {
	newest := sandbarrow.AdapterVersion(0)
	for i := range list {
		newest = max(newest, list[i].weights.Adapter)
	}
	return newest
}

// typicalSpeed is the mean speed of the engines whose controllers are linked.
func typicalSpeed(list []candidate) readspeed.Speed {
	var mean readspeed.Mean
	for i := range list {
		if list[i].linked {
			mean.Add(list[i].speed())
		}
	}
	return mean.Speed()
}

// surveyOf prices a load and a copy.
//
// Inputs: the engines that hold the adapter or can recall it, the loads under way at all
// engines that were seen, and what loads have shown of the weight store.
func surveyOf(copies, loading int, m loadtime.Model) fleetSurvey {
	f := fleetSurvey{loadDelay: m.Delay(loading)}
	if copies > 0 {
		f.copyDelay = time.Duration(float64(copyDelay) * min(m.Slowdown(loading), mostContention))
	}
	return f
}

// loadsUnderWay counts the adapters that the engine loads.
func (e *candidate) loadsUnderWay() int {
	n := 0
	for i := range e.status.Slots {
		if e.status.Slots[i].State == enginelink.SlotLoading {
			n++
		}
	}
	return n
}

// appraise adds to the cost what the engine costs for the request; false means that
// it can't serve it. Before, cost holds the penalty for recent failures.
func (e *candidate) appraise(n *need, f *fleetSurvey) bool {
	speed := e.speed().ShrinkToward(f.speed)
	move := e.considerMove(n, f)
	read := move + speed.TimeToFirstEvent(e.unread(n.tokens))
	e.cost += read
	if e.remote {
		e.cost += domainDelay
	}
	if !e.linked {
		// Without its controller nothing can be loaded.
		e.cost += blindDelay + time.Duration(e.inFlight)*blindRunningFactor*runningDelay
		return e.held
	}
	wait, ok := e.waitForAdapter(n, f)
	if !ok {
		return false
	}
	wait += speed.PrefillTime(e.waitingTokens) + time.Duration(e.status.Running)*runningDelay
	e.cost += wait
	if wait+read > n.untilObjective {
		e.cost += lateDelay
		e.late = true
	}
	if !e.held && !e.recallable {
		e.cost += f.copyDelay
	}
	return true
}

// waitForAdapter estimates the time until the engine holds what the request needs;
// false means that it can't.
func (e *candidate) waitForAdapter(n *need, f *fleetSurvey) (time.Duration, bool) {
	if !slices.Contains(e.status.Models, n.key.Model) {
		return 0, false
	}
	if n.key.Adapter == "" {
		return 0, true
	}
	slot := e.status.Slot(n.key)
	if e.held && slot.State == enginelink.SlotLoaded {
		return 0, true
	}
	if e.held {
		return f.loadDelay / 2, true // half of a load is left, on average
	}
	var wait time.Duration
	switch {
	case slot != nil && e.status.Running > 0:
		wait = replaceDelay
	case slot == nil && e.status.Free <= 0:
		wait = time.Duration(1-e.status.Free) * slotDelay
		e.full = true
	}
	if e.recallable {
		return wait + recallDelay, true
	}
	return wait + f.loadDelay, true
}
