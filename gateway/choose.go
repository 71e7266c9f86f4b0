package gateway

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/enginelink"
)

// The parts of an upstream's cost, as the delay that each is expected to bring.
const (
	// tokenDelay is the time to read one token of a prompt.
	tokenDelay = 52 * time.Microsecond
	// runningDelay is what each running request slows another.
	runningDelay = 3 * time.Millisecond
	// loadDelay is the time to bring an adapter from the weight store.
	loadDelay = 270 * time.Millisecond
	// freeLoads is how many loads the weight store bears at once before each
	// takes longer.
	freeLoads = 8
	// mostCrowd bounds how much a crowd of loads raises the weight of a copy: an
	// engine that has many requests behind it needs one all the same.
	mostCrowd = 2
	// recallDelay is the time to bring an adapter from the engine's own memory.
	recallDelay = 40 * time.Millisecond
	// copyDelay weighs the price of another copy of an adapter that another
	// engine has.
	copyDelay = 500 * time.Millisecond
	// copyUses is how many requests lately for each copy of an adapter make another
	// copy worth its price: beyond, its weight falls.
	copyUses = 4
	// lateDelay weighs an answer that is expected to miss its objective.
	lateDelay = 900 * time.Millisecond
	// lateShare is the share of the objective that an expected answer may take.
	lateShare = 0.85
	// answerDelay is the time to a first event beside reading the prompt.
	answerDelay = 110 * time.Millisecond
	// replaceDelay is the time until the runs on an older version have ended.
	replaceDelay = 900 * time.Millisecond
	// slotDelay is the time until one slot comes free.
	slotDelay = 600 * time.Millisecond
	// spareLeast is how many more prompt tokens may always wait at a chosen engine
	// than were known of: another choice takes its time too.
	spareLeast = 1500
	// rankDelay keeps adapters on the first engines of their ranking.
	rankDelay = 25 * time.Millisecond
	// connectDelay weighs the price of a new connection.
	connectDelay = 25 * time.Millisecond
	// domainDelay prefers the own failure domain: its time on the way and the
	// price of its bytes.
	domainDelay = 12 * time.Millisecond
	// blindDelay is the doubt about an engine without its controller.
	blindDelay = 250 * time.Millisecond
	// noObjective stands in where a route names none.
	noObjective = time.Hour
	// serviceDelay is the assumed work of a request at a plain service.
	serviceDelay = 30 * time.Millisecond
)

// candidate is an engine that may serve a request.
type candidate struct {
	// connected says that a connection rests that can serve the request.
	connected bool
	cost      time.Duration
	// full says that the adapter would wait for a slot to come free.
	full     bool
	held     bool
	instance *sandbarrow.Instance
	// late says that the answer is expected to miss its objective.
	late bool
	link *engineLink
	linkView
	// place is the expected place in the adapter's own ranking of the engines.
	place float64
	// spare is how many more prompt tokens may wait here before another engine
	// is the better choice; 0 where there is no other.
	spare int
}

// candidates keeps the lists of choices that are done.
var candidates = sync.Pool{New: func() any { return new([]candidate) }}

// chooseEngine returns the engine with the least expected delay, or nil.
func (g *Gateway) chooseEngine(c *call, excluded map[sandbarrow.InstanceID]bool) *candidate {
	scratch := candidates.Get().(*[]candidate)
	defer candidates.Put(scratch)
	now := time.Now()
	list := g.eligible(c, now, excluded, (*scratch)[:0])
	*scratch = list
	f := survey(c, list)
	best, second := -1, time.Duration(math.MaxInt64)
	for i := range list {
		e := &list[i]
		if !e.price(g, now, c, &f) {
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
		return nil
	}
	chosen := list[best]
	if second < math.MaxInt64 {
		chosen.spare = spareLeast + int((second-chosen.cost)/tokenDelay)
	}
	return &chosen
}

// eligible appends the engines that take new work to list.
func (g *Gateway) eligible(c *call, now time.Time, excluded map[sandbarrow.InstanceID]bool, list []candidate) []candidate {
	members := g.engines.members(c.service.ID)
	affinity := xxhash.Sum64String(c.affinity)
	for i := range members {
		m := &members[i]
		if m.instance.Leaving || excluded[m.instance.ID] {
			continue
		}
		e := candidate{instance: m.instance, link: m.link, linkView: m.link.view(now, c.key)}
		if e.linked && (e.status.Leaving || e.status.Silent) {
			continue
		}
		e.connected = m.pool.Resting(now)
		e.place = float64(scatter(affinity^m.hash)) / (1 << 64) * float64(len(members))
		list = append(list, e)
	}
	return list
}

// scatter spreads the bits of a number (the finalizer of SplitMix64), so that
// numbers that differ little rank differently.
func scatter(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// outlook is what a choice knows of all candidates together.
type outlook struct {
	// copyDelay is the weight of another copy of the adapter.
	copyDelay time.Duration
	// loadDelay is the time of a load with those under way now.
	loadDelay time.Duration
}

// survey notes which candidates hold the adapter and what a load would take.
func survey(c *call, list []candidate) outlook {
	copies := 0
	coming := 0
	for i := range list {
		e := &list[i]
		e.held = e.holds(c)
		e.recalled = e.recalled && e.linked && !e.held
		if e.held || e.recalled {
			copies++
		}
		for j := range e.status.Slots {
			if e.linked && e.status.Slots[j].State == enginelink.SlotLoading {
				coming++
			}
		}
	}
	crowd := time.Duration(max(freeLoads, coming+1))
	f := outlook{loadDelay: loadDelay * crowd / freeLoads}
	if copies > 0 {
		f.copyDelay = copyDelay * min(crowd, mostCrowd*freeLoads) / freeLoads
		f.copyDelay = time.Duration(float64(f.copyDelay) / max(1, c.demand/float64(copies)/copyUses))
	}
	return f
}

// holds reports whether the engine holds what the request needs, or brings it.
func (e *candidate) holds(c *call) bool {
	if !e.linked {
		return holdsModel(e.instance.Models, c) || e.recalled
	}
	if c.key.Adapter == "" {
		return slices.Contains(e.status.Models, c.key.Model)
	}
	slot := e.slot(c.key)
	return slot != nil && slot.Version >= c.version
}

func (e *candidate) slot(key sandbarrow.AdapterKey) *enginelink.SlotStatus {
	for i := range e.status.Slots {
		if e.status.Slots[i].Key() == key {
			return &e.status.Slots[i]
		}
	}
	return nil
}

func holdsModel(models []sandbarrow.LoadedModel, c *call) bool {
	for _, m := range models {
		if m.Model != c.key.Model {
			continue
		}
		if c.key.Adapter == "" {
			return true
		}
		for _, a := range m.Adapters {
			if a.Adapter == c.key.Adapter && a.Version >= c.version {
				return true
			}
		}
	}
	return false
}

// price computes the cost; false means that the engine can't serve the request.
func (e *candidate) price(g *Gateway, now time.Time, c *call, f *outlook) bool {
	inFlight, penalty := g.health.look(now, e.instance.ID)
	e.cost = penalty
	if e.instance.FailureDomain != g.config.Domain {
		e.cost += domainDelay
	}
	if !e.connected {
		e.cost += connectDelay
	}
	if !e.linked {
		// Without its controller nothing can be loaded.
		e.cost += blindDelay + time.Duration(inFlight)*3*runningDelay
		return e.held
	}
	wait, ok := e.waitForAdapter(c, f)
	if !ok {
		return false
	}
	wait += time.Duration(e.waiting)*tokenDelay + time.Duration(e.status.Running)*runningDelay
	e.cost += wait
	if wait+time.Duration(c.tokens)*tokenDelay+answerDelay > c.untilObjective(now) {
		e.cost += lateDelay
		e.late = true
	}
	if !e.held || c.key.Adapter == "" {
		e.cost += time.Duration(e.place * float64(rankDelay))
	}
	if !e.held && !e.recalled {
		e.cost += f.copyDelay
	}
	return true
}

// waitForAdapter estimates the time until the engine holds what the request needs; false
// means that it can't.
func (e *candidate) waitForAdapter(c *call, f *outlook) (time.Duration, bool) {
	if !slices.Contains(e.status.Models, c.key.Model) {
		return 0, false
	}
	if c.key.Adapter == "" {
		return 0, true
	}
	slot := e.slot(c.key)
	if e.held && slot.State == enginelink.SlotLoaded {
		return 0, true
	}
	if e.held {
		return f.loadDelay / 2, true
	}
	var wait time.Duration
	switch {
	case slot != nil && e.status.Running > 0:
		wait = replaceDelay
	case slot == nil && e.status.Free <= 0:
		wait = time.Duration(1-e.status.Free) * slotDelay
		e.full = true
	}
	if e.recalled {
		return wait + recallDelay, true
	}
	return wait + f.loadDelay, true
}

// untilObjective is the part of the objective that is left for an answer.
func (c *call) untilObjective(now time.Time) time.Duration {
	if c.route.Objective <= 0 {
		return noObjective
	}
	return time.Duration(lateShare*float64(c.route.Objective)) - now.Sub(c.began)
}

// choosePlain returns the upstream of a plain service with the least expected
// delay, or nil.
func (g *Gateway) choosePlain(c *call, excluded map[sandbarrow.InstanceID]bool) *sandbarrow.Instance {
	now := time.Now()
	var best *sandbarrow.Instance
	var bestCost time.Duration
	for _, in := range g.directory.View().Service(c.service.ID) {
		if in.Leaving || excluded[in.ID] {
			continue
		}
		inFlight, cost := g.health.look(now, in.ID)
		cost += time.Duration(inFlight) * serviceDelay / time.Duration(max(1, in.Slots))
		if in.FailureDomain != g.config.Domain {
			cost += domainDelay
		}
		if best == nil || cost < bestCost {
			best, bestCost = in, cost
		}
	}
	return best
}
