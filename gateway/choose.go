package gateway

import (
	"math"
	"time"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/internal/boottime"
	"sandbarrow.example/sandbarrow/loadtime"
)

// requirements are the properties of a request that the choice of an engine depends on.
type requirements struct {
	key     sandbarrow.AdapterKey
	version sandbarrow.AdapterVersion
	// tokens is the length of the prompt.
	tokens int
	// movePerToken is the time to move one cached token between engines; 0 if engines can't
	// move cached prompts.
	movePerToken time.Duration
	// spare is for how long the request may wait before its work begins.
	spare time.Duration
	// gapTarget is the longest pause between two events that the route allows; 0 if there is no
	// target.
	gapTarget time.Duration
	// loads returns the load-time model for the given number of loads in progress.
	loads func(underWay int) loadtime.Model
}

// chooseEngine returns the engine with the lowest expected delay, or nil. It takes one
// snapshot of each engine that accepts work and passes the snapshots to cheapest.
func (g *Gateway) chooseEngine(c *call, excluded map[sandbarrow.InstanceID]bool) *candidate {
	scratch := candidatePool.Get().(*[]candidate)
	defer candidatePool.Put(scratch)
	now := boottime.Now()
	list := g.eligible(c, now, excluded, (*scratch)[:0])
	*scratch = list
	n := requirements{key: c.key, version: c.version, tokens: c.tokens, gapTarget: c.route.EventGapTarget, loads: g.loadTimes.ModelFor, movePerToken: c.service.Engine.MoveTimePerToken, spare: c.spareTime(0)}
	best, ok := cheapest(list, &n)
	if !ok {
		return nil
	}
	chosen := list[best]
	return &chosen
}

// cheapest decides which engine gets a request. It estimates the cost of all candidates
// and returns the index of the cheapest one, or false if none can serve the request. The
// gateway then acquires the adapter from the controller of that engine.
//
// Inputs: a snapshot of the engines and the requirements of the request. A status is at
// most half a second old; an engine with an older one counts as not linked. The cost is
// the expected delay until the first event, plus penalties in the same unit for what the
// choice costs other requests. cheapest also sets spareTokens of the chosen engine: the
// number of prompt tokens that may wait there before the second best engine is as good.
// The engine's controller checks this limit against its own count. An engine at which the work would begin
// too late is chosen only if it would at all of them.
func cheapest(list []candidate, n *requirements) (int, bool) {
	f := collectFleetStats(list, n)
	best, second, usable := -1, time.Duration(math.MaxInt64), 0
	for i := range list {
		e := &list[i]
		if !e.estimateCost(n, &f) {
			continue
		}
		usable++
		switch {
		case best < 0:
			best = i
		case e.better(&list[best]):
			best, second = i, list[best].cost
		default:
			second = min(second, e.cost)
		}
	}
	if best < 0 {
		return 0, false
	}
	list[best].copies, list[best].newCopy = f.copies, len(list) > 1 && list[best].needsLoad(n)
	list[best].others = usable - 1
	if second < math.MaxInt64 {
		list[best].spareTokens = minSpareTokens + int(max(0, second-list[best].cost)/list[best].speed().PerToken)
	}
	return best, true
}

// better reports whether the engine is the better choice.
func (e *candidate) better(other *candidate) bool {
	if e.late != other.late {
		return other.late
	}
	return e.cost < other.cost
}
