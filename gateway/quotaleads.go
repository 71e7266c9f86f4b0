package gateway

import (
	"cmp"
	"context"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"sandbarrow.example/sandbarrow/enginelink"
	"sandbarrow.example/sandbarrow/internal/boottime"
	"sandbarrow.example/sandbarrow/internal/pause"
	"sandbarrow.example/sandbarrow/internal/rendezvous"
	"sandbarrow.example/sandbarrow/quota"
)

const (
	// leadPause is the pause between two looks whether a shard needs a leader; that often this
	// gateway nominates one.
	leadPause = 100 * time.Millisecond
	// nominateFor is how long one controller is nominated before the next one is: many tries of one
	// that reaches the store, while the lease of a lost leader runs out.
	nominateFor = 2 * time.Second
	// settleFor is how long nominations wait at most for links that are still coming up after a
	// start. Without it the first controller that is linked leads all shards, and its loss is the
	// loss of all of them.
	settleFor = 1500 * time.Millisecond
	// settledParts: links are settled when all but one of so many parts of the engines' controllers
	// are linked: some engines may be down.
	settledParts = 4
	// settledAfter is how long after a new upstream was listed others may follow.
	settledAfter = 300 * time.Millisecond
	// suspectFor is how long a leader that did not answer, or leads no more, is not asked: it may
	// have its lease back after the next renewal.
	suspectFor = 150 * time.Millisecond
)

// quotaLeads follows which controllers lead the quota shards, and nominates one for a
// shard that has none. It is safe for concurrent use.
type quotaLeads struct {
	gateway *Gateway

	mu      sync.Mutex
	byShard [quota.Shards]shardLead
}

// shardLead is what is known of a shard's leader.
type shardLead struct {
	link *controllerLink
	// missing is since when there is no usable leader; zero while there is one.
	missing time.Time
	// suspect is when the leader last failed to answer.
	suspect time.Time
	term    quota.Term
}

func newQuotaLeads(g *Gateway) *quotaLeads {
	return &quotaLeads{gateway: g}
}

// learn applies what a controller announces.
func (q *quotaLeads) learn(l *controllerLink, leads *enginelink.LedShards) {
	q.mu.Lock()
	defer q.mu.Unlock()
	led := map[quota.Shard]bool{}
	for _, t := range leads.Terms {
		if t.Shard < 0 || t.Shard >= quota.Shards {
			continue
		}
		led[t.Shard] = true
		if s := &q.byShard[t.Shard]; t.Term >= s.term {
			*s = shardLead{link: l, term: t.Term}
		}
	}
	for i := range q.byShard {
		if s := &q.byShard[i]; s.link == l && !led[quota.Shard(i)] {
			s.link = nil
		}
	}
}

// leader returns the controller that leads a shard, with its term, or nil.
func (q *quotaLeads) leader(s quota.Shard) (*controllerLink, quota.Term) {
	now := boottime.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	lead := &q.byShard[s]
	if !lead.usable(now) {
		return nil, 0
	}
	return lead.link, lead.term
}

func (s *shardLead) usable(now time.Time) bool {
	return s.link != nil && now.Sub(s.suspect) >= suspectFor && s.link.up(now)
}

// doubt keeps that the leader of a term did not answer.
func (q *quotaLeads) doubt(s quota.Shard, term quota.Term) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if lead := &q.byShard[s]; lead.term == term {
		lead.suspect = boottime.Now()
	}
}

// confirmer returns the connection to the controller that keeps the configuration
// confirmed, or nil.
func (q *quotaLeads) confirmer() *jsonrpc2.Conn {
	l, _ := q.leader(quota.ConfirmShard)
	if l == nil {
		return nil
	}
	return l.connection()
}

// run nominates leaders until ctx ends.
func (q *quotaLeads) run(ctx context.Context) error {
	for ctx.Err() == nil {
		q.nominate(ctx)
		pause.For(ctx, leadPause)
	}
	return nil
}

// nominate asks a controller to lead, for each shard in use that has no usable leader. All
// gateways ask the same one first, so that few compete.
func (q *quotaLeads) nominate(ctx context.Context) {
	now := boottime.Now()
	links := q.gateway.engines.upLinks(now)
	if len(links) == 0 {
		return
	}
	for s := range q.needed() {
		since, term, missing := q.missing(s, now)
		if !missing || now.Sub(since) < settleFor && !q.gateway.linksSettled(len(links)) {
			continue
		}
		slices.SortFunc(links, func(a, b *controllerLink) int { return cmp.Compare(rank(s, b), rank(s, a)) })
		chosen := links[int(now.Sub(since)/nominateFor)%len(links)]
		if rpc := chosen.connection(); rpc != nil {
			_ = rpc.Notify(ctx, enginelink.MethodLead, enginelink.Lead{Shard: s, Term: term}) // on a broken link the next look nominates another
		}
	}
}

// linksSettled reports whether the links that are up are most of those that will be.
func (g *Gateway) linksSettled(up int) bool {
	if boottime.Since(g.directory.LastAdded()) < settledAfter {
		return false
	}
	known := g.engines.count()
	return up*settledParts >= known*(settledParts-1)
}

// missing reports whether a shard has no usable leader, since when, and its last known term.
func (q *quotaLeads) missing(s quota.Shard, now time.Time) (since time.Time, last quota.Term, missing bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	lead := &q.byShard[s]
	if lead.usable(now) {
		lead.missing = time.Time{}
		return time.Time{}, lead.term, false
	}
	if lead.missing.IsZero() {
		lead.missing = now
	}
	return lead.missing, lead.term, true
}

// needed are the shards of workspaces with a limit, and that whose leader confirms the
// configuration.
func (q *quotaLeads) needed() map[quota.Shard]bool {
	needed := map[quota.Shard]bool{}
	view := q.gateway.estate.View()
	if view == nil || view.Table.Keys == nil {
		return needed
	}
	for w := range view.Table.Keys.Workspaces {
		if w.Limit.Limited() {
			for _, s := range quota.ShardsOf(w.ID) {
				needed[s] = true
			}
		}
	}
	if q.gateway.config.RevokeBound > 0 {
		needed[quota.ConfirmShard] = true
	}
	return needed
}

// rank orders the controllers that may lead a shard (rendezvous hashing).
func rank(s quota.Shard, l *controllerLink) uint64 {
	return rendezvous.Rank(strconv.Itoa(int(s)), l.address)
}

// count is how many controllers there are, linked or not.
func (e *engines) count() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.links)
}

// upLinks are the links that are up.
func (e *engines) upLinks(now time.Time) []*controllerLink {
	e.mu.Lock()
	defer e.mu.Unlock()
	var up []*controllerLink
	for _, l := range e.links {
		if l.up(now) {
			up = append(up, l)
		}
	}
	return up
}
