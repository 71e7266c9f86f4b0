package throttle

import (
	"time"

	"sandbarrow.example/sandbarrow"
)

const (
	// MaxWait is how long a request may wait for a send to a limited upstream before it is refused.
	MaxWait = 200 * time.Millisecond
	// minQueryInterval and maxQueryInterval bound the time between a refused query for a send to an
	// upstream and the next query. The maximum is also the delay after which a process may learn
	// that the limit has ended, or that another process has returned an unused send.
	minQueryInterval = 5 * time.Millisecond
	maxQueryInterval = time.Second
	// limitPenalty is the penalty of an upstream that names a limit. It moves requests away from an
	// overloaded upstream if another one is about as good.
	limitPenalty = 100 * time.Millisecond
	// limitRecheckAge is the age at which a limit is checked again, since it may have ended. If no
	// response has named the limit for this time, requests prefer its upstream.
	limitRecheckAge = time.Second
)

// gate says when a send to a limited upstream may be requested.
type gate struct {
	// querying says that a request for a send is in progress.
	querying bool
	// grantableAt is when a send can be granted, according to the last reply. No query is made
	// before nextQueryAt, which is at most maxQueryInterval after that reply.
	grantableAt, nextQueryAt time.Time
}

// Gates decide when one process may query a coordinator for a send to a limited upstream. There is
// one query at a time, and none before a send can be granted. This bounds the queries for each
// upstream, regardless of the number of requests. The zero Gates have no limits.
type Gates struct {
	Table
	gates map[sandbarrow.InstanceID]*gate
}

// GateCheck is the result of checking the gate of an upstream. It is zero for an upstream without a
// limit.
type GateCheck struct {
	Limited bool
	// Penalty is the delay that the limit counts as when upstreams are compared.
	Penalty time.Duration
	// Wait is the time until a send may be requested.
	Wait time.Duration
}

// Check checks whether a send to an upstream may be requested now. An upstream that names a limit is
// avoided, except by the requests that check whether it still does. A cold upstream is not avoided:
// it gets the requests that it accepts.
func (g *Gates) Check(now time.Time, id sandbarrow.InstanceID) GateCheck {
	limit, limited := g.InForce(now, id)
	if !limited {
		return GateCheck{}
	}
	check := GateCheck{Limited: true}
	switch {
	case !g.names(id):
	case now.Sub(limit.At) > limitRecheckAge:
		check.Penalty = -limitPenalty
	default:
		check.Penalty = limitPenalty
	}
	e := g.gates[id]
	switch {
	case e == nil:
	case e.querying:
		check.Wait = limit.Rate.Interval()
	case now.Before(e.nextQueryAt):
		check.Wait = e.grantableAt.Sub(now)
	}
	return check
}

// Begin begins a query for a send, and returns the record to send with it. required is false if the
// upstream names no limit, and no query is needed. may is false if another query is in progress, or
// if no send can be granted yet: then the caller must not query.
func (g *Gates) Begin(now time.Time, id sandbarrow.InstanceID) (record Record, required, may bool) {
	if _, limited := g.InForce(now, id); !limited {
		delete(g.gates, id)
		return record, false, true
	}
	e := g.gates[id]
	if e == nil {
		e = g.add(id)
	}
	if e.querying || now.Before(e.nextQueryAt) {
		return record, true, false
	}
	e.querying = true
	record, _ = g.Record(now, id)
	return record, true, true
}

// add creates a gate, and drops those whose limits have expired.
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

// End applies the reply to a query for a send within a time.
func (g *Gates) End(now time.Time, id sandbarrow.InstanceID, granted Grant, within time.Duration) {
	e := g.gates[id]
	if e == nil {
		return
	}
	e.querying = false
	if granted.Granted {
		return
	}
	e.grantableAt = now.Add(granted.Wait)
	e.nextQueryAt = now.Add(min(max(granted.Wait-within, minQueryInterval), maxQueryInterval))
}
