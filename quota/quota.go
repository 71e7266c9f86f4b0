// Package quota holds what workspaces use to what the operators allow them, over all
// gateways together.
//
// A workspace's limit is split into Parts, each of which belongs to a shard. Each shard has
// one leader, which holds a lease on the shard's key in the platform's store. Gateways ask
// a leader for what a request counts, and its Granter grants it or not. A grant may be used for a short time
// only, counted from the moment at which it was asked for; so a grant that was held up,
// or that a frozen process still has, is worth nothing when it arrives.
//
// The package has the decisions alone: no clock, no connection, no goroutine. It owns the
// level of each workspace of one shard. It relies on its caller for the time, for holding
// the lease, and for the operators' limits (package access).
//
// What must hold, and why: in any window of Bound.Window, the requests of a workspace
// that were granted by a part and are used come to no more than its share of
// Bound.allowed. Used within a window
// is what was granted within it, or at most Plan.Life before it. One Granter grants no
// more than Plan.Rate x time + Plan.Depth in any span, and one that takes over begins with
// nothing, after the last one's lease has ended; so neither do several in succession.
package quota

import (
	"hash/fnv"
	"math"
	"time"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/access"
)

// Shard names a part of all workspaces, from 0.
type Shard int

// Shards is the number of shards. Each costs its leader a renewal of its lease every renewal pause,
// so more of them cost more calls to the store; the fewer there are, the more workspaces wait when
// a leader is lost.
const Shards Shard = 8

// ConfirmShard is the shard whose leader also keeps the operators' table confirmed as the
// newest, so that one process of all asks the store for that.
const ConfirmShard Shard = 0

// LimitShares is into how many parts a limit is split, each with a leader of its own: where one
// is lost, the others go on. With one part a workspace has nothing for up to 2 s until
// another process leads, which begins with nothing to grant.
const LimitShares = 2

// ShardsOf returns the shards of a workspace's parts, which differ.
func ShardsOf(id sandbarrow.WorkspaceID) [LimitShares]Shard {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id)) // never fails
	first := Shard(h.Sum32() % uint32(Shards))
	var all [LimitShares]Shard
	for i := range all {
		all[i] = (first + Shard(i)*(Shards/LimitShares)) % Shards
	}
	return all
}

// Term numbers the leaders of a shard; a later one has a higher number.
type Term = sandbarrow.FencingToken

// Bound is what the operators promise of every limit: in any Window, a workspace uses no
// more than its limit allows, with a share Overage and Slack units on top.
type Bound struct {
	Overage float64
	Slack   float64
	Window  time.Duration
}

const (
	// keptShare is the share of what is allowed that is granted; the rest is for clocks that run at
	// slightly other speeds.
	keptShare = 0.97
	// usualLife is how long a grant may be used. A grant is asked for when a request
	// needs it, so this is a round trip to the leader with a wide margin.
	usualLife = 500 * time.Millisecond
	// leastLife is the shortest life of a grant that is of use: a round trip on a slow link.
	leastLife = 100 * time.Millisecond
	// depthShare is the least share of what is allowed in a window that a workspace may
	// use at once.
	depthShare = 0.1
	// leastDepth is the least depth, in units: a limit of a few requests in a window would
	// grant none with less.
	leastDepth = 2
	// youngFor is how long a term is young: it begins with nothing, while requests have waited
	// for a leader, so that what it refuses at first is mostly below the limit. After a
	// restart of all processes, 597 requests were refused within 2 s for that.
	youngFor = 1500 * time.Millisecond
	// overdraftShare is the part of the depth by which a request may exceed what is there.
	// Without it a workspace at its limit would have its small requests served and its
	// large ones never.
	overdraftShare = 0.6
)

// allowed is the most that a workspace may use in one window.
func (b Bound) allowed(l *access.Limit) float64 {
	return (l.PerSecond*b.Window.Seconds()+l.Burst)*(1+b.Overage) + b.Slack
}

// Plan is how a part of a limit is granted so that its bound holds.
type Plan struct {
	// Depth is what may be granted beyond Rate, in units.
	Depth float64
	// Life is how long a grant may be used, counted from when it was asked for.
	Life time.Duration
	// Rate is in units a second.
	Rate float64
}

// PlanFor decides how each part of a limit is granted. Rate is the operators' own, split, where the bound
// leaves room for the life of grants; else that life is cut first, and then the rate.
func PlanFor(b Bound, l *access.Limit) Plan {
	most := b.allowed(l) * keptShare / LimitShares
	least := max(most*depthShare, min(leastDepth, most/2))
	p := Plan{Life: usualLife, Rate: l.PerSecond / LimitShares}
	room := func() float64 { return most - p.Rate*(b.Window+p.Life).Seconds() }
	if room() < least {
		p.Life = leastLife
	}
	if room() < least {
		p.Rate = (most - least) / (b.Window + p.Life).Seconds()
	}
	p.Depth = max(least, room())
	return p
}

// Grant is a leader's answer to one request.
type Grant struct {
	// Granted says that the request may be sent within Life.
	Granted bool
	Life    time.Duration
	// RetryAfter is when it would be granted if nobody else asked; for one that is not.
	RetryAfter time.Duration
	// Young says that the term has begun less than youngFor ago.
	Young bool
}

// account is one workspace of a Granter.
type account struct {
	at    time.Time
	level float64
	plan  Plan
}

// fill adds what has come since the last time.
func (a *account) fill(now time.Time) {
	if elapsed := now.Sub(a.at); elapsed > 0 {
		a.level = min(a.plan.Depth*(1-overdraftShare), a.level+a.plan.Rate*elapsed.Seconds())
		a.at = now
	}
}

// Granter grants what the workspaces of one shard may use, in one term of its leader. It
// is not safe for concurrent use.
type Granter struct {
	accounts map[sandbarrow.WorkspaceID]*account
	bound    Bound
	since    time.Time
}

// NewGranter returns a Granter for a term that begins now.
func NewGranter(b Bound, now time.Time) *Granter {
	return &Granter{accounts: map[sandbarrow.WorkspaceID]*account{}, bound: b, since: now}
}

// Ask decides whether a workspace may use so many units now. A request that needs more
// than is there is granted as long as anything is there, up to the overdraft; what it
// takes ahead is then missing for the next ones.
func (g *Granter) Ask(now time.Time, id sandbarrow.WorkspaceID, l *access.Limit, units int64) Grant {
	a := g.account(now, id, l)
	need := float64(units)
	overdraft := a.plan.Depth * overdraftShare
	missing := max(math.SmallestNonzeroFloat64, need-overdraft) - a.level
	if missing > 0 {
		return Grant{RetryAfter: a.wait(missing), Young: now.Sub(g.since) < youngFor}
	}
	a.level -= need
	return Grant{Granted: true, Life: a.plan.Life}
}

// wait is how long it takes until so much has come; a request that is larger than the
// limit ever allows waits for a window.
func (a *account) wait(missing float64) time.Duration {
	if a.level+missing > a.plan.Depth*(1-overdraftShare) || a.plan.Rate <= 0 {
		return time.Minute
	}
	return time.Duration(missing / a.plan.Rate * float64(time.Second))
}

// account returns the account of a workspace under its limit of now. One that is new to
// this term begins empty with the term.
func (g *Granter) account(now time.Time, id sandbarrow.WorkspaceID, l *access.Limit) *account {
	plan := PlanFor(g.bound, l)
	a := g.accounts[id]
	if a == nil {
		a = &account{at: g.since, plan: plan}
		g.accounts[id] = a
	}
	a.fill(now)
	if a.plan != plan {
		a.plan = plan
		a.level = min(a.level, plan.Depth*(1-overdraftShare))
	}
	return a
}
