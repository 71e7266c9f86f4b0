package quota

import (
	"time"

	"sandbarrow.example/sandbarrow/access"
)

// AcquireByClass decides whether a workspace may use the units of a request now. It handles a
// workspace that asks for several times its limit. While the bucket has units left, it decides as
// Acquire does. Once they are used up, the overdraft is granted by class: a request must leave
// what the more urgent classes will need soon (demand.required). The classes that fit into the
// refill are therefore granted at once, the next one gets what they leave, and each of the others
// its minimum share. Within a class, requests are granted as they arrive, whatever their size and
// whether their callers were refused before. An account starts a term without an overdraft: several
// terms would otherwise each grant a new one within a window.
func (g *Granter) AcquireByClass(now time.Time, l *access.Limit, r *Request) Grant {
	a := g.account(now, r.Workspace, l, overdraftShare)
	need := float64(r.Units)
	i := classOf(r)
	a.demand.record(now, i, need, &a.plan)
	available := a.level + a.plan.Depth*overdraftShare
	required := a.demand.required(i, need, &a.plan)
	switch {
	case a.missing(need) <= 0, available >= required, available >= need && a.demand.classes[i].hasCredit():
	default:
		return g.refuse(now, a, r, required-available)
	}
	a.demand.grant(i, need)
	a.level -= need
	return Grant{Granted: true, TTL: a.plan.TTL}
}

// refuse returns the refusal of a request for which the bucket lacks units. It says when the refill
// of its class has room for the request, after all that were told to come back before. In a new term
// requests wait at their gateways, and none is told to come back.
func (g *Granter) refuse(now time.Time, a *account, r *Request, missing float64) Grant {
	refused := Grant{NewTerm: now.Sub(g.startedAt) < youngTermDuration, RetryAfter: time.Minute}
	if r.Units > int64(a.plan.Depth) {
		return refused
	}
	i := classOf(r)
	refill := a.demand.refill(i, &a.plan)
	room := now.Add(refillTime(missing, refill))
	if refused.NewTerm {
		refused.RetryAfter = room.Sub(now)
		return refused
	}
	each := refillTime(float64(r.Units), refill)
	refused.RetryAfter, refused.Turn = a.demand.classes[i].returns.Add(now, room, each, r.Follow)
	return refused
}

// refillTime returns how long a refill in units per second takes, a minute at most.
func refillTime(units, perSecond float64) time.Duration {
	if perSecond <= 0 {
		return time.Minute
	}
	return time.Duration(min(time.Minute.Seconds(), units/perSecond) * float64(time.Second))
}
