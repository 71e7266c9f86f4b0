// Package quota enforces the operators' limits on what workspaces use, over all gateways
// together.
//
// A workspace's limit is split into LimitShares equal shares, each of which belongs to a
// shard. Each shard has one leader, which holds a lease on the shard's key in the platform's
// store. Gateways request the cost of a request from a leader, and its Granter grants or
// refuses it. A grant has a short TTL, which starts when the gateway sends its request. A
// grant that is delayed, or that a frozen process keeps, expires before it can be used late.
//
// A workspace over its limit is granted units in order of arrival (Granter.Acquire) or by class
// (Granter.AcquireByClass).
//
// The package holds the decisions alone: no clock, no connection, no goroutine. It owns the
// token bucket of each workspace of one shard. It relies on its caller for the time, for
// holding the lease, and for the operators' limits (package access).
//
// Invariant: in any window of Bound.Window, the units of a workspace that were granted from
// one share of its limit and are used come to no more than that share of Bound.allowed. What is
// used within a window was granted within it, or at most Plan.TTL before it. One Granter
// grants no more than Plan.Rate x time + Plan.Depth in any time span. A Granter that takes
// over starts with nothing, after the previous lease has ended, or counts as refilled since a
// time after which nobody granted (RefillStart). The bound therefore holds for several Granters
// in succession too.
package quota

import (
	"hash/fnv"
	"math"
	"time"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/access"
)

// Shard numbers the shards of the workspaces, from 0.
type Shard int

// Shards is the number of shards. The leader of each shard regularly renews its lease. More
// shards therefore cost more calls to the store. With fewer shards, more workspaces wait when a
// leader is lost.
const Shards Shard = 8

// ConfirmShard is the shard whose leader also confirms regularly that the operators' table is
// the newest. A single process queries the store for that.
const ConfirmShard Shard = 0

// LimitShares is the number of shares into which a limit is split. Each share has its own
// leader. When one leader is lost, the others continue. With a single share, a workspace gets
// no grants for up to 2 s, until another process leads, which starts with nothing to grant.
const LimitShares = 2

// ShardsOf returns the shards of the shares of a workspace's limit. They are all different.
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

// Bound is the operators' tolerance for every limit. In any Window, a workspace uses at most
// what its limit allows, times 1 + Overage, plus Slack units.
type Bound struct {
	Overage float64
	Slack   float64
	Window  time.Duration
}

const (
	// grantedShare is the share of the allowed units that is granted. The rest allows for clocks
	// that run at slightly different speeds.
	grantedShare = 0.97
	// usualTTL is how long a grant may be used. Gateways request a grant when a request needs
	// it. A round trip to the leader fits into this with a wide margin.
	usualTTL = 500 * time.Millisecond
	// minTTL is the shortest useful TTL of a grant: a round trip on a slow link.
	minTTL = 100 * time.Millisecond
	// minDepthShare is the smallest depth, as a share of the units allowed in a window.
	minDepthShare = 0.1
	// minDepth is the smallest depth, in units. With less, a limit of a few requests in a window
	// would grant none.
	minDepth = 2
	// youngTermDuration is how long a term counts as young. A term starts with nothing to
	// grant, while requests have been waiting for a leader. Most requests that it refuses at
	// first are therefore below the limit. After a restart of all processes, 597 requests were
	// refused within 2 s for this reason.
	youngTermDuration = 1500 * time.Millisecond
	// overdraftShare is the share of the depth by which a request may exceed the available
	// units. Without an overdraft, a workspace at its limit would have its small requests
	// served and never its large ones.
	overdraftShare = 0.6
)

// allowed is the most that a workspace may use in one window.
func (b Bound) allowed(l *access.Limit) float64 {
	return (l.PerSecond*b.Window.Seconds()+l.Burst)*(1+b.Overage) + b.Slack
}

// Plan holds the token bucket parameters that keep one share of a limit within its bound.
type Plan struct {
	// Depth is how many units may be granted beyond Rate.
	Depth float64
	// TTL is how long a grant may be used, from when the gateway requested it.
	TTL time.Duration
	// Rate is in units per second.
	Rate float64
}

// PlanFor decides the plan for each share of a limit. Rate is an equal share of the operators'
// rate if the bound leaves room for the usual TTL of grants. Otherwise the TTL is cut first,
// and then the rate.
func PlanFor(b Bound, l *access.Limit) Plan {
	budget := b.allowed(l) * grantedShare / LimitShares
	depth := max(budget*minDepthShare, min(minDepth, budget/2))
	p := Plan{TTL: usualTTL, Rate: l.PerSecond / LimitShares}
	room := func() float64 { return budget - p.Rate*(b.Window+p.TTL).Seconds() }
	if room() < depth {
		p.TTL = minTTL
	}
	if room() < depth {
		p.Rate = (budget - depth) / (b.Window + p.TTL).Seconds()
	}
	p.Depth = max(depth, room())
	return p
}

// Grant is a leader's reply to one request.
type Grant struct {
	// Granted says that the request may be sent within the TTL.
	Granted bool
	TTL     time.Duration
	// RetryAfter is when a refused request would be granted if no other one came first.
	RetryAfter time.Duration
	// Turn says that others are told to come back later than RetryAfter.
	Turn bool
	// NewTerm says that the term is younger than youngTermDuration.
	NewTerm bool
}

// account is the token bucket of one workspace of a Granter.
type account struct {
	demand     demand
	refilledAt time.Time
	level      float64
	plan       Plan
}

// refill adds the units for the time since the last refill.
func (a *account) refill(now time.Time) {
	if elapsed := now.Sub(a.refilledAt); elapsed > 0 {
		a.level = min(a.plan.Depth*(1-overdraftShare), a.level+a.plan.Rate*elapsed.Seconds())
		a.refilledAt = now
	}
}

// Granter grants units to the workspaces of one shard, in one term of its leader. It is not
// safe for concurrent use.
type Granter struct {
	accounts  map[sandbarrow.WorkspaceID]*account
	bound     Bound
	startedAt time.Time
	// refillStart is set by SetRefillStart.
	refillStart time.Time
}

// NewGranter returns a Granter for a term that starts now.
func NewGranter(b Bound, now time.Time) *Granter {
	return &Granter{accounts: map[sandbarrow.WorkspaceID]*account{}, bound: b, startedAt: now}
}

// Acquire decides whether a workspace may use this many units now, in order of arrival. A request may exceed the
// available units by the overdraft. The units that it overdraws are then missing for the next
// requests.
func (g *Granter) Acquire(now time.Time, id sandbarrow.WorkspaceID, l *access.Limit, units int64) Grant {
	a := g.account(now, id, l, 0)
	need := float64(units)
	if missing := a.missing(need); missing > 0 {
		return Grant{RetryAfter: a.waitFor(missing), NewTerm: now.Sub(g.startedAt) < youngTermDuration}
	}
	a.level -= need
	return Grant{Granted: true, TTL: a.plan.TTL}
}

// missing returns the units that the bucket lacks to grant a request by arrival.
func (a *account) missing(need float64) float64 {
	return max(math.SmallestNonzeroFloat64, need-a.plan.Depth*overdraftShare) - a.level
}

// waitFor returns the time until the missing units are refilled. It is a minute for a request
// that is larger than the limit ever allows.
func (a *account) waitFor(missing float64) time.Duration {
	if a.level+missing > a.plan.Depth*(1-overdraftShare) || a.plan.Rate <= 0 {
		return time.Minute
	}
	return time.Duration(missing / a.plan.Rate * float64(time.Second))
}

// account returns the account of a workspace under its current limit. An account that is new
// in this term counts as empty at the start of the term, with this share of its depth overdrawn.
func (g *Granter) account(now time.Time, id sandbarrow.WorkspaceID, l *access.Limit, overdrawnShare float64) *account {
	plan := PlanFor(g.bound, l)
	a := g.accounts[id]
	if a == nil {
		a = &account{level: -plan.Depth * overdrawnShare, refilledAt: g.startedAt, plan: plan}
		g.accounts[id] = a
		g.refillBeforeTerm(a)
	}
	a.refill(now)
	if a.plan != plan {
		a.plan = plan
		a.level = min(a.level, plan.Depth*(1-overdraftShare))
	}
	return a
}
