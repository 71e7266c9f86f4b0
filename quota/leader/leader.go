// Package leader runs the quota shards that one process leads. It competes for a shard when
// nominated, holds the shard's lease in the platform's store, and grants units to workspaces
// while it holds the lease.
//
// It owns the leases and one quota.Granter for each term. It relies on package lease for
// mutual exclusion, on package estate for the limits, and on gateways for the nominations. A
// process that no gateway can reach is not nominated. Controllers use the package.
package leader

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/enginelink"
	"sandbarrow.example/sandbarrow/estate"
	"sandbarrow.example/sandbarrow/internal/boottime"
	"sandbarrow.example/sandbarrow/quota"
)

// maxPendingNominations bounds the nominations in the queue. Further ones are dropped, since
// gateways repeat them.
const maxPendingNominations = 4 * int(quota.Shards)

// Config holds the parameters and dependencies of a Leader.
type Config struct {
	Bound quota.Bound
	// Box is the box of this process. It runs one Leader at a time. A Leader that starts there
	// takes over the shards of its predecessor at once.
	Box    sandbarrow.BoxID
	Estate *estate.Estate
	// Keys lists the shards' keys, to find the shards that this box has led.
	Keys   sandbarrow.PrefixStore
	Logger *slog.Logger
	// Order is how units are allocated within a workspace over its limit; by class if it is empty.
	Order quota.Order
	Store sandbarrow.LeaseStore
}

// Leader leads the shards for which this process has been nominated. It is safe for
// concurrent use.
type Leader struct {
	config      Config
	nominations chan enginelink.Lead

	// startedAt is when this process was certainly running already.
	startedAt time.Time

	mu      sync.Mutex
	changed chan struct{}
	// firstFound holds the key that each shard had before the first attempt to write it; see
	// recordFound.
	firstFound map[quota.Shard]quota.Term
	terms      map[quota.Shard]*term
}

// New returns a Leader that leads nothing; Run starts it.
func New(c Config) *Leader {
	return &Leader{
		changed: make(chan struct{}), config: c, firstFound: map[quota.Shard]quota.Term{}, nominations: make(chan enginelink.Lead, maxPendingNominations),
		startedAt: boottime.Now(), terms: map[quota.Shard]*term{},
	}
}

// Nominate requests that this process lead a shard.
func (l *Leader) Nominate(n enginelink.Lead) {
	if n.Shard < 0 || n.Shard >= quota.Shards {
		return
	}
	select {
	case l.nominations <- n:
	default:
	}
}

// Run handles nominations until ctx ends, then releases all leases.
func (l *Leader) Run(ctx context.Context) error {
	candidates := map[quota.Shard]*candidate{}
	stopped := make(chan quota.Shard)
	var group errgroup.Group
	group.Go(func() error { return l.reclaim(ctx) })
	for {
		select {
		case n := <-l.nominations:
			s := n.Shard
			if c := candidates[s]; c != nil {
				c.nominate(n.Term)
				continue
			}
			c := newCandidate(l, s)
			c.nominate(n.Term)
			candidates[s] = c
			group.Go(func() error {
				c.run(ctx)
				select {
				case stopped <- s:
				case <-ctx.Done():
				}
				return nil
			})
		case s := <-stopped:
			delete(candidates, s)
		case <-ctx.Done():
			return group.Wait()
		}
	}
}

// LedShards returns the shards that this process leads now, in order, and a channel that is closed
// when they change.
func (l *Leader) LedShards() (enginelink.LedShards, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	leads := enginelink.LedShards{Terms: []enginelink.ShardTerm{}}
	for s, t := range l.terms {
		leads.Terms = append(leads.Terms, enginelink.ShardTerm{Shard: s, Term: t.number})
	}
	slices.SortFunc(leads.Terms, func(a, b enginelink.ShardTerm) int { return int(a.Shard - b.Shard) })
	return leads, l.changed
}

// AcquireQuota grants or refuses the units of a request.
func (l *Leader) AcquireQuota(q *enginelink.AcquireQuota) enginelink.QuotaGrant {
	// The time is read before the lease is checked. A process that freezes in between then
	// grants as of a time at which it held the lease.
	now := boottime.Now()
	view := l.config.Estate.View()
	if view == nil {
		return enginelink.QuotaGrant{NotLeader: true}
	}
	w := view.Table.Keys.Workspace(q.Workspace)
	if w == nil {
		return enginelink.QuotaGrant{NotLeader: true}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.terms[q.Shard]
	shards := quota.ShardsOf(q.Workspace)
	if t == nil || !t.isLeased() || !slices.Contains(shards[:], q.Shard) {
		return enginelink.QuotaGrant{NotLeader: true}
	}
	var g quota.Grant
	if l.config.Order == quota.OrderArrival {
		g = t.granter.Acquire(now, w.ID, &w.Limit, q.Units)
	} else {
		g = t.granter.AcquireByClass(now, &w.Limit, &quota.Request{
			Follow: time.Duration(q.FollowMS) * time.Millisecond, Priority: q.Priority, Units: q.Units, Workspace: w.ID,
		})
	}
	return enginelink.QuotaGrant{
		Granted: g.Granted, ValidForMS: g.TTL.Milliseconds(), NewTerm: g.NewTerm, RetryAfterMS: g.RetryAfter.Milliseconds(), Turn: g.Turn,
	}
}

// beginTerm starts a term.
func (l *Leader) beginTerm(s quota.Shard, t *term) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.terms[s] = t
	l.notifyChanged()
	l.config.Logger.Info("quota shard led", "shard", int(s), "term", uint64(t.number), "refilled_ms", t.refilled.Milliseconds())
}

// endTerm ends the term of a shard, if there is one.
func (l *Leader) endTerm(s quota.Shard, why string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.terms[s]
	if t == nil {
		return
	}
	delete(l.terms, s)
	l.notifyChanged()
	l.config.Logger.Warn("quota shard no longer led", "shard", int(s), "term", uint64(t.number), "why", why)
}

// notifyChanged wakes the goroutines that publish the leads. The caller holds mu.
func (l *Leader) notifyChanged() {
	close(l.changed)
	l.changed = make(chan struct{})
}
