package gateway

import (
	"math"
	"time"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/internal/boottime"
	"sandbarrow.example/sandbarrow/loadtime"
)

// need is what the choice of an engine depends on, of one request.
type need struct {
	key     sandbarrow.AdapterKey
	version sandbarrow.AdapterVersion
	// tokens is the length of the prompt.
	tokens int
	// movePerToken is the time to move one kept token between engines, 0 where that
	// can't be done.
	movePerToken time.Duration
	// untilObjective is how much time is left for an answer that meets its objective.
	untilObjective time.Duration
	// loads returns what is known of the weight store, for so many loads under way.
	loads func(underWay int) loadtime.Model
}

// chooseEngine returns the engine with the least expected delay, or nil. It takes
// one look at each engine that accepts work and leaves the choice to cheapest.
func (g *Gateway) chooseEngine(c *call, excluded map[sandbarrow.InstanceID]bool) *candidate {
	scratch := candidates.Get().(*[]candidate)
	defer candidates.Put(scratch)
	now := boottime.Now()
	list := g.eligible(c, now, excluded, (*scratch)[:0])
	*scratch = list
	n := need{key: c.key, version: c.version, tokens: c.tokens, loads: g.loadTimes.ModelFor, movePerToken: c.service.Engine.MoveTimePerToken, untilObjective: c.untilObjective()}
	best, ok := cheapest(list, &n)
	if !ok {
		return nil
	}
	chosen := list[best]
	return &chosen
}

// cheapest decides which engine gets a request, for the gateway that asks its
// controller next. It appraises all candidates and returns the index of the one of
// least cost; false where none can serve the request.
//
// Inputs: the engines as they were seen at one moment (a status is at most half a
// second old, else the engine counts as not linked) and the need of the request.
// The cost is the delay until the first event that each engine is expected to
// cause, with prices for what the choice costs others, in the same unit.
// The chosen engine also gets the prompt tokens that may wait there before the
// second best is as good, which its controller checks against its own count.
func cheapest(list []candidate, n *need) (int, bool) {
	f := surveyFleet(list, n)
	best, second := -1, time.Duration(math.MaxInt64)
	for i := range list {
		e := &list[i]
		if !e.appraise(n, &f) {
			continue
		}
		switch {
		case best < 0:
			best = i
		case e.cost < list[best].cost:
			best, second = i, list[best].cost
		default:
			second = min(second, e.cost)
		}
	}
	if best < 0 {
		return 0, false
	}
	if second < math.MaxInt64 {
		list[best].spareTokens = spareLeast + int((second-list[best].cost)/list[best].speed().PerToken)
	}
	return best, true
}

// noObjective stands in where a route names no objective: longer than any request is
// held, short enough to be added to a time.
const noObjective = time.Hour

// untilObjective is the part of the objective that is left for an answer.
func (c *call) untilObjective() time.Duration {
	if c.route.Objective <= 0 {
		return noObjective
	}
	return time.Duration(lateShare*float64(c.route.Objective)) - c.elapsed()
}
