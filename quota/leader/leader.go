// Package leader runs the leaders of quota shards that one process holds: it competes for
// a shard when asked to, keeps its lease in the platform's store, and grants what
// workspaces may use while it holds it.
//
// It owns the leases and one quota.Granter a term. It relies on package lease for the
// exclusive hold, on package estate for the limits, and on gateways for the nominations:
// a leader that no gateway can reach is one that no gateway asks for. Controllers use it.
package leader

import (
	"context"
	"log/slog"
	"slices"
	"strconv"
	"strings"
	"sync"

	"golang.org/x/sync/errgroup"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/enginelink"
	"sandbarrow.example/sandbarrow/estate"
	"sandbarrow.example/sandbarrow/internal/boottime"
	"sandbarrow.example/sandbarrow/lease"
	"sandbarrow.example/sandbarrow/quota"
)

// nominationsMost is how many nominations wait to be followed. Gateways nominate again.
const nominationsMost = 4 * int(quota.Shards)

// Config is what a Leader needs.
type Config struct {
	Bound quota.Bound
	// Box runs one Leader at a time: one that starts takes over at once what its predecessor
	// there has led.
	Box    sandbarrow.BoxID
	Estate *estate.Estate
	// Keys reads which shards this box has led.
	Keys   sandbarrow.PrefixStore
	Logger *slog.Logger
	Store  sandbarrow.LeaseStore
}

// Leader leads the shards for which this process has been nominated. It is safe for
// concurrent use.
type Leader struct {
	config      Config
	nominations chan enginelink.Lead

	mu      sync.Mutex
	changed chan struct{}
	terms   map[quota.Shard]*term
}

// New returns a Leader that leads nothing; Run starts it.
func New(c Config) *Leader {
	return &Leader{
		changed: make(chan struct{}), config: c, nominations: make(chan enginelink.Lead, nominationsMost), terms: map[quota.Shard]*term{},
	}
}

// Nominate asks this process to lead a shard.
func (l *Leader) Nominate(n enginelink.Lead) {
	if n.Shard < 0 || n.Shard >= quota.Shards {
		return
	}
	select {
	case l.nominations <- n:
	default:
	}
}

// Run follows nominations until ctx ends, then gives all leases back.
func (l *Leader) Run(ctx context.Context) error {
	candidates := map[quota.Shard]*candidate{}
	ended := make(chan quota.Shard)
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
				case ended <- s:
				case <-ctx.Done():
				}
				return nil
			})
		case s := <-ended:
			delete(candidates, s)
		case <-ctx.Done():
			return group.Wait()
		}
	}
}

// reclaim nominates this process for the shards that its predecessor on this box has led,
// once it knows that there are limits at all. Gateways that start at the same time do not
// know the last leaders: without it two of eight shards had no leader for 1.8 s longer
// after a restart of all processes.
func (l *Leader) reclaim(ctx context.Context) error {
	for {
		view := l.config.Estate.View()
		if view != nil && view.Table.Keys != nil {
			break
		}
		_, changed := l.config.Estate.Mark()
		if l.config.Estate.View() != view {
			continue
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		}
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	items, _, err := l.config.Keys.Range(ctx, keyPrefix)
	if err != nil {
		l.config.Logger.Info("quota shards of before not known", "error", err.Error())
		return nil
	}
	for _, it := range items {
		s, err := strconv.Atoi(strings.TrimPrefix(it.Key, keyPrefix))
		if err == nil && lease.IsOwnedBy(it.Value, string(l.config.Box)) {
			l.Nominate(enginelink.Lead{Shard: quota.Shard(s)})
		}
	}
	return nil
}

// Leads are the shards that are led now, ordered, and a channel that closes when that
// changes.
func (l *Leader) Leads() (enginelink.Leads, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	leads := enginelink.Leads{Terms: []enginelink.LeadTerm{}}
	for s, t := range l.terms {
		leads.Terms = append(leads.Terms, enginelink.LeadTerm{Shard: s, Term: t.number})
	}
	slices.SortFunc(leads.Terms, func(a, b enginelink.LeadTerm) int { return int(a.Shard - b.Shard) })
	return leads, l.changed
}

// Take grants what a request counts, or refuses it.
func (l *Leader) Take(q *enginelink.Take) enginelink.Taken {
	// Before the lease is looked at: a process that is frozen in between grants as of a
	// moment at which it held the lease.
	now := boottime.Now()
	view := l.config.Estate.View()
	if view == nil {
		return enginelink.Taken{NotLeading: true}
	}
	w := view.Table.Keys.Workspace(q.Workspace)
	if w == nil {
		return enginelink.Taken{NotLeading: true}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.terms[q.Shard]
	shards := quota.ShardsOf(q.Workspace)
	if t == nil || !t.holds() || !slices.Contains(shards[:], q.Shard) {
		return enginelink.Taken{NotLeading: true}
	}
	g := t.granter.Ask(now, w.ID, &w.Limit, q.Units)
	return enginelink.Taken{Granted: g.Granted, LifeMS: g.Life.Milliseconds(), RetryMS: g.RetryAfter.Milliseconds(), Young: g.Young}
}

// begin starts a term.
func (l *Leader) begin(s quota.Shard, t *term) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.terms[s] = t
	l.announce()
	l.config.Logger.Info("quota shard led", "shard", int(s), "term", uint64(t.number))
}

// end ends the term of a shard, if there is one.
func (l *Leader) end(s quota.Shard, why string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.terms[s]
	if t == nil {
		return
	}
	delete(l.terms, s)
	l.announce()
	l.config.Logger.Warn("quota shard no longer led", "shard", int(s), "term", uint64(t.number), "why", why)
}

// announce wakes those who announce what is led. The caller holds mu.
func (l *Leader) announce() {
	close(l.changed)
	l.changed = make(chan struct{})
}
