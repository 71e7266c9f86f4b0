package throttle

import (
	"time"

	"sandbarrow.example/sandbarrow"
)

const (
	// MaxWait is how long a request waits for its turn at a limited upstream, rather than being
	// refused.
	MaxWait = 200 * time.Millisecond
	// leastAskPause and mostAskPause bound the pause until an upstream is asked for again that
	// takes no request now: the longest is how late a process may learn that its limit has
	// ended, or that another one has given a send back.
	leastAskPause = 5 * time.Millisecond
	mostAskPause  = time.Second
	// limitedPrice is the price of an upstream that names a limit: one in need is spared where
	// another one is about as good.
	limitedPrice = 100 * time.Millisecond
	// limitOld is after how long without an answer a limit is asked for again, by a request
	// that goes to its upstream first: it may have ended.
	limitOld = time.Second
)

// gate is when a limited upstream may be asked for.
type gate struct {
	// asking says that a request asks for a send right now.
	asking bool
	// free is when a send can be granted, as it was said last; until then none is asked for,
	// but mostAskPause.
	free, until time.Time
}

// Gates decide for one process when a request may ask for a send to a limited upstream: not
// while another one asks, nor before one can be granted. So what an upstream costs in questions
// is bounded, however many requests there are. The zero Gates know no limit.
type Gates struct {
	Table
	gates map[sandbarrow.InstanceID]*gate
}

// Check returns how long it is until an upstream may be asked for, and its price: one in need is
// spared, but for the requests that show whether it still names its limit. Both are 0 for one
// that names none.
func (g *Gates) Check(now time.Time, id sandbarrow.InstanceID) (wait, price time.Duration) {
	limit, limited := g.InForce(now, id)
	if !limited {
		return 0, 0
	}
	price = limitedPrice
	if now.Sub(limit.At) > limitOld {
		price = -limitedPrice
	}
	e := g.gates[id]
	switch {
	case e == nil:
		return 0, price
	case e.asking:
		return limit.Rate.Interval(), price
	case now.Before(e.until):
		return e.free.Sub(now), price
	}
	return 0, price
}

// Begin notes that a request asks for a send, and returns what to ask with. Where the upstream
// names no limit there is no need; where another request asks already, or none can be granted
// now, it must not.
func (g *Gates) Begin(now time.Time, id sandbarrow.InstanceID) (record Record, need, may bool) {
	if _, limited := g.InForce(now, id); !limited {
		delete(g.gates, id)
		return record, false, true
	}
	e := g.gates[id]
	if e == nil {
		e = g.add(id)
	}
	if e.asking || now.Before(e.until) {
		return record, true, false
	}
	e.asking = true
	record, _ = g.Record(now, id)
	return record, true, true
}

// add makes a gate, and drops those whose limits are forgotten.
func (g *Gates) add(id sandbarrow.InstanceID) *gate {
	if g.gates == nil {
		g.gates = map[sandbarrow.InstanceID]*gate{}
	}
	for other := range g.gates {
		if g.limits[other] == nil {
			delete(g.gates, other)
		}
	}
	e := &gate{}
	g.gates[id] = e
	return e
}

// End notes what came of asking for a send within a time.
func (g *Gates) End(now time.Time, id sandbarrow.InstanceID, granted Grant, within time.Duration) {
	e := g.gates[id]
	if e == nil {
		return
	}
	e.asking = false
	if granted.Granted {
		return
	}
	e.free = now.Add(granted.Wait)
	e.until = now.Add(min(max(granted.Wait-within, leastAskPause), mostAskPause))
}
