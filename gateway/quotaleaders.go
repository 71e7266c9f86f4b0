package gateway

import (
	"context"
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
	// nominationInterval is the interval between two checks for shards without a leader. This
	// gateway nominates one at each check.
	nominationInterval = 100 * time.Millisecond
	// nominationTime is how long one controller is nominated before the next one is. A controller
	// that reaches the store has many attempts within it, while the lease of a lost leader expires.
	nominationTime = 2 * time.Second
	// maxSettleTime is the longest time that nominations wait for links that are still coming up
	// after a start. Otherwise the first linked controller would lead all shards, and its loss
	// would leave all of them without a leader.
	maxSettleTime = 1500 * time.Millisecond
	// settledDivisor defines settled links: at most 1/settledDivisor of the engines' controllers
	// are not linked. Some engines may be down.
	settledDivisor = 4
	// listingSettleTime is the time after a new upstream was listed within which others may follow.
	listingSettleTime = 300 * time.Millisecond
	// suspectTime is how long no request is sent to a leader that did not reply or no longer leads.
	// It may have its lease back after the next renewal.
	suspectTime = 150 * time.Millisecond
)

// quotaLeaders tracks which controllers lead the quota shards, and nominates one for a shard
// without a leader. It is safe for concurrent use.
type quotaLeaders struct {
	gateway *Gateway

	mu      sync.Mutex
	byShard [quota.Shards]shardLeader
}

// shardLeader is the last known leader of a shard.
type shardLeader struct {
	// former is the address of the controller that led last, also after its link is lost.
	former string
	link   *controllerLink
	// missing is the time since which there is no usable leader; zero while there is one.
	missing time.Time
	// suspectSince is when the leader last failed to reply.
	suspectSince time.Time
	term         quota.Term
}

func newQuotaLeaders(g *Gateway) *quotaLeaders {
	return &quotaLeaders{gateway: g}
}

// apply applies the terms that a controller publishes.
func (q *quotaLeaders) apply(l *controllerLink, leads *enginelink.LedShards) {
	q.mu.Lock()
	defer q.mu.Unlock()
	led := map[quota.Shard]bool{}
	for _, t := range leads.Terms {
		if t.Shard < 0 || t.Shard >= quota.Shards {
			continue
		}
		led[t.Shard] = true
		if s := &q.byShard[t.Shard]; t.Term >= s.term {
			*s = shardLeader{former: l.address, link: l, term: t.Term}
		}
	}
	for i := range q.byShard {
		if s := &q.byShard[i]; s.link == l && !led[quota.Shard(i)] {
			s.link = nil
		}
	}
}

// leader returns the controller that leads a shard, with its term, or nil.
func (q *quotaLeaders) leader(s quota.Shard) (*controllerLink, quota.Term) {
	now := boottime.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	lead := &q.byShard[s]
	if !lead.usable(now) {
		return nil, 0
	}
	return lead.link, lead.term
}

func (s *shardLeader) usable(now time.Time) bool {
	return s.link != nil && now.Sub(s.suspectSince) >= suspectTime && s.link.up(now)
}

// markSuspect records that the leader of a term did not reply.
func (q *quotaLeaders) markSuspect(s quota.Shard, term quota.Term) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if lead := &q.byShard[s]; lead.term == term {
		lead.suspectSince = boottime.Now()
	}
}

// confirmer returns the connection to the controller that keeps the configuration confirmed, or
// nil.
func (q *quotaLeaders) confirmer() *jsonrpc2.Conn {
	l, _ := q.leader(quota.ConfirmShard)
	if l == nil {
		return nil
	}
	return l.connection()
}

// run nominates leaders until ctx ends.
func (q *quotaLeaders) run(ctx context.Context) error {
	for ctx.Err() == nil {
		q.nominate(ctx)
		pause.For(ctx, nominationInterval)
	}
	return nil
}

// nominate asks controllers to lead, for each shard in use that has no usable leader. All gateways
// nominate the same ones, so few controllers compete.
func (q *quotaLeaders) nominate(ctx context.Context) {
	now := boottime.Now()
	links := q.gateway.engines.upLinks(now)
	if len(links) == 0 {
		return
	}
	for s := range q.needed() {
		since, term, missing := q.missing(s, now)
		if !missing || now.Sub(since) < maxSettleTime && !q.gateway.linksSettled(len(links)) {
			continue
		}
		for _, chosen := range nominees(links, s, q.former(s), now.Sub(since)) {
			if rpc := chosen.connection(); rpc != nil {
				_ = rpc.Notify(ctx, enginelink.MethodLead, enginelink.Lead{Shard: s, Term: term}) // if the link is broken, the next check nominates another one
			}
		}
	}
}

// linksSettled reports whether most of the expected links are up.
func (g *Gateway) linksSettled(up int) bool {
	if boottime.Since(g.directory.LastAdded()) < listingSettleTime {
		return false
	}
	known := g.engines.linkCount()
	return up*settledDivisor >= known*(settledDivisor-1)
}

// missing reports whether a shard has no usable leader, since when, and its last known term.
func (q *quotaLeaders) missing(s quota.Shard, now time.Time) (since time.Time, last quota.Term, missing bool) {
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

// needed returns the shards of workspaces with a limit, and the shard whose leader confirms the
// configuration.
func (q *quotaLeaders) needed() map[quota.Shard]bool {
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

// shardRank ranks the controllers that may lead a shard (rendezvous hashing).
func shardRank(s quota.Shard, l *controllerLink) uint64 {
	return rendezvous.Rank(strconv.Itoa(int(s)), l.address)
}

// linkCount returns the number of controllers, linked or not.
func (e *engines) linkCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.links)
}

// upLinks returns the links that are up.
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
