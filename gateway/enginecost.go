package gateway

import (
	"slices"
	"time"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/enginelink"
	"sandbarrow.example/sandbarrow/loadtime"
	"sandbarrow.example/sandbarrow/readspeed"
)

// This file computes the cost of an engine for a request: the sum of expected delays and
// of penalties in the same unit. It holds the constants of the choice and the pure
// functions that use them; choose.go compares the costs.

// Delays that engines cause. The prefill speed is estimated at run time (package readspeed),
// and so is the time of a load (package loadtime).
const (
	// runningDelay is the delay that each running request adds to another one, where the
	// engines' event times do not tell.
	runningDelay = 3 * time.Millisecond
	// recallDelay is the time to load an adapter from the engine's own memory: 0.03 s
	// (docs/design/platform.md) plus the time of the order.
	recallDelay = 40 * time.Millisecond
	// replaceDelay is the time until the requests that run on an older version have finished.
	replaceDelay = 900 * time.Millisecond
	// slotWait is the time until one slot becomes free.
	slotWait = 600 * time.Millisecond
)

// Penalties: what a choice costs other requests or the operators, expressed as a delay of
// equal value.
const (
	// copyPenalty is for loading another copy of an adapter that some engine already has. It
	// stands for the slot and for the bandwidth of the weight store that the copy uses.
	copyPenalty = 500 * time.Millisecond
	// maxContentionFactor bounds the factor by which contention at the weight store raises
	// copyPenalty. If many requests wait at an engine, their adapter needs a second copy even
	// under contention, as after a power loss.
	maxContentionFactor = 2
	// unlinkedPenalty is for an engine whose controller is not linked, as its load is unknown.
	unlinkedPenalty = 250 * time.Millisecond
	// unlinkedRunningFactor estimates the running requests of an engine without a status. Only
	// this gateway's own requests are known then, and each counts as this many.
	unlinkedRunningFactor = 3
)

// minSpareTokens is how many prompt tokens beyond the known ones may always wait at a chosen
// engine, because choosing again takes time too.
const minSpareTokens = 1500

// fleetStats summarizes all candidates of a choice.
type fleetStats struct {
	// copies is the number of engines that have the adapter, can recall it, or are going to load it.
	copies int
	// copyPenalty is the current penalty for another copy of the adapter.
	copyPenalty time.Duration
	// loadDelay is the time of a load, given the loads in progress.
	loadDelay time.Duration
	// events compares the engines' event times.
	events eventTimes
	// loadStep is the time by which a load that is ahead at the same engine delays another one.
	loadStep time.Duration
	// speed is the prefill speed of a typical engine.
	speed readspeed.Speed
	// newestVersion is the newest version of the adapter that an engine has loaded.
	newestVersion sandbarrow.AdapterVersion
	// sources are the engines with the longest cached prefix of the prompt.
	sources cachedSources
}

// collectFleetStats determines which candidates have the adapter and how long a load takes.
func collectFleetStats(list []candidate, n *requirements) fleetStats {
	copies := 0
	loading := 0
	for i := range list {
		e := &list[i]
		e.loadedOrLoading = e.isLoadedOrLoading(n)
		e.recallable = e.recallable && e.linked && !e.loadedOrLoading
		if e.loadedOrLoading || e.recallable || e.expected {
			copies++
		}
		if e.linked {
			loading += e.loadsUnderWay()
		}
	}
	f := newFleetStats(copies, loading, n.loads(loading))
	f.newestVersion, f.sources, f.speed = newestLoadedVersion(list), findSources(list, n), typicalSpeed(list)
	f.events = compareEventTimes(list, n)
	return f
}

// newestLoadedVersion returns the newest version of the adapter that a linked engine has loaded.
func newestLoadedVersion(list []candidate) sandbarrow.AdapterVersion {
	newest := sandbarrow.AdapterVersion(0)
	for i := range list {
		newest = max(newest, list[i].weights.Adapter)
	}
	return newest
}

// typicalSpeed returns the mean prefill speed of the engines whose controllers are linked.
func typicalSpeed(list []candidate) readspeed.Speed {
	var mean readspeed.Mean
	for i := range list {
		if list[i].linked {
			mean.Add(list[i].speed())
		}
	}
	return mean.Speed()
}

// newFleetStats estimates the load time and the penalty for a copy.
//
// Inputs: the number of engines that have the adapter, can recall it or are going to load it, the
// number of loads in progress at all linked engines, and the load-time model of the weight store.
func newFleetStats(copies, loading int, m loadtime.Model) fleetStats {
	f := fleetStats{copies: copies, loadDelay: m.Delay(loading), loadStep: m.BaseTime / loadsAtOnce}
	if copies > 0 {
		f.copyPenalty = time.Duration(float64(copyPenalty) * min(m.Slowdown(loading), maxContentionFactor))
	}
	return f
}

// loadsUnderWay returns the number of adapters that the engine is loading.
func (e *candidate) loadsUnderWay() int {
	n := 0
	for i := range e.status.Slots {
		if e.status.Slots[i].State == enginelink.SlotLoading {
			n++
		}
	}
	return n
}

// estimateCost adds the expected delay and the penalties of the request to the cost. It
// returns false if the engine can't serve the request. The penalty for recent failures is
// already part of the cost.
func (e *candidate) estimateCost(n *requirements, f *fleetStats) bool {
	speed := e.speed().ShrinkToward(f.speed)
	move := e.planMove(n, f)
	read := move + speed.TimeToFirstEvent(e.uncachedTokens(n.tokens))
	e.cost += read
	e.cost += e.distancePenalty
	if !e.linked {
		// Nothing can be loaded without the engine's controller.
		e.cost += unlinkedPenalty + time.Duration(e.inFlight)*unlinkedRunningFactor*runningDelay
		return e.loadedOrLoading
	}
	wait, ok := e.estimateAdapterWait(n, f)
	if !ok {
		return false
	}
	wait += speed.PrefillTime(e.waitingTokens) + time.Duration(e.status.Running)*runningDelay
	e.cost += wait
	e.late = wait > n.spare
	e.cost += f.events.harm(e, n, speed)
	if e.needsLoad(n) {
		e.cost += f.copyPenalty
	}
	return true
}

// needsLoad reports whether the engine would have to load the adapter from the weight store for this
// request. It follows loadedOrLoading, which collectFleetStats sets.
func (e *candidate) needsLoad(n *requirements) bool {
	return n.key.Adapter != "" && !e.loadedOrLoading && !e.recallable && !e.expected
}

// estimateAdapterWait estimates the time until the engine has loaded the weights that the
// request needs. It returns false if the engine can't load them.
func (e *candidate) estimateAdapterWait(n *requirements, f *fleetStats) (time.Duration, bool) {
	if !slices.Contains(e.status.Models, n.key.Model) {
		return 0, false
	}
	if n.key.Adapter == "" {
		return 0, true
	}
	slot := e.status.Slot(n.key)
	if e.loadedOrLoading && slot.State == enginelink.SlotLoaded {
		return 0, true
	}
	if e.loadedOrLoading {
		return f.loadDelay / 2, true // half of a load is left, on average
	}
	var wait time.Duration
	switch {
	case slot != nil && e.status.Running > 0:
		wait = replaceDelay
	case slot == nil && e.freeSlots() <= 0:
		wait = time.Duration(1-e.freeSlots()) * slotWait
	}
	if e.recallable {
		return wait + recallDelay, true
	}
	return wait + f.loadDelay + time.Duration(e.loadsAhead())*f.loadStep, true
}

// loadsAtOnce is the number of adapters that an engine typically loads at the same time.
const loadsAtOnce = 4

// freeSlots returns the number of slots that are free for the request, minus those for the loads
// that the status can't show yet. The slot of an expected load is free for its own adapter.
func (e *candidate) freeSlots() int {
	if e.expected {
		return e.status.Free + 1
	}
	return e.status.Free - e.unreportedLoads
}

// loadsAhead returns the number of loads that have not begun and are ahead of the request's own. The
// status can't show the latest ones yet. An expected load is not behind those, and on average in the
// middle of the others.
func (e *candidate) loadsAhead() int {
	if e.expected {
		return e.status.Queued / 2
	}
	return e.status.Queued + e.unreportedLoads
}
