package gateway

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"time"

	"sandbarrow.example/sandbarrow/enginelink"
	"sandbarrow.example/sandbarrow/internal/boottime"
	"sandbarrow.example/sandbarrow/internal/pause"
	"sandbarrow.example/sandbarrow/quota"
)

const (
	// quotaTimeout bounds one question to a leader: many round trips, short against the time until
	// another one leads.
	quotaTimeout = 300 * time.Millisecond
	// quotaWait is how long a request waits for a leader: until another one leads after one was
	// lost. A late answer serves its caller better than a refusal.
	quotaWait = 2 * time.Second
	// quotaWaitShare: a request waits for one of so many parts of its time at most.
	quotaWaitShare = 2
	// quotaPause is the pause between two looks for a leader.
	quotaPause = 20 * time.Millisecond
	// leastQuotaRetry is the least time after which a caller over its limit is told to come back.
	leastQuotaRetry = 100 * time.Millisecond
)

// quotaAsk is what came of asking for what a request counts, for its log line.
type quotaAsk struct {
	asks  int
	taken enginelink.QuotaGrant
	// term is that of the leader that was asked last.
	term  quota.Term
	units int64
	// waited is how long the request waited for the answer.
	waited time.Duration
}

// attributes describe the ask; none where there was none.
func (q *quotaAsk) attributes() []slog.Attr {
	if q.asks == 0 {
		return nil
	}
	return []slog.Attr{
		slog.Int64("units", q.units), slog.Int("quota_asks", q.asks), slog.Uint64("quota_term", uint64(q.term)),
		slog.Int64("quota_wait_ms", q.waited.Milliseconds()), slog.Int64("quota_retry_ms", q.taken.RetryAfterMS),
	}
}

// takeQuota takes what the request counts from its workspace's limit, before anything else
// is done for it. Where the limit is used up, or nobody can tell, it answers and returns
// false. What a request has taken is not given back where it was not run.
func (c *call) takeQuota(ctx context.Context) bool {
	if c.workspace == nil || !c.workspace.Limit.Limited() {
		return true
	}
	began := time.Now()
	c.quota.units = c.workspace.Limit.Cost(c.request.Header.Get(c.gateway.config.Headers.Tokens))
	until := began.Add(min(quotaWait, c.left()/quotaWaitShare))
	for {
		found := c.askParts(ctx)
		c.quota.waited = time.Since(began)
		switch {
		case found.granted:
			c.gateway.metrics.quotaAsked(c, "granted")
			return true
		case found.refused == quota.LimitShares && !found.young, found.refused > 0 && !found.young && c.quota.waited > c.route.Objective/2,
			found.refused > 0 && !time.Now().Before(until):
			c.gateway.metrics.quotaAsked(c, "refused")
			c.refuseFor(http.StatusTooManyRequests, reasonLimit, jitter(max(found.again, leastQuotaRetry)))
			return false
		case ctx.Err() != nil || !time.Now().Before(until):
			c.gateway.metrics.quotaAsked(c, "leaderless")
			c.giveUp(ctx, reasonNoLeader)
			return false
		}
		pause.For(ctx, quotaPause)
	}
}

// partsAnswer is what the leaders of a limit's parts answered.
type partsAnswer struct {
	// again is when the first of those that refused would grant the request.
	again   time.Duration
	granted bool
	refused int
	// young says that a leader which refused has begun its term just now.
	young bool
}

// askParts asks the leaders of the parts in turn, beginning with any, until one grants the
// request.
func (c *call) askParts(ctx context.Context) partsAnswer {
	var found partsAnswer
	shards := quota.ShardsOf(c.workspace.ID)
	first := rand.IntN(quota.LimitShares)
	for i := range shards {
		taken, ok := c.askLeader(ctx, shards[(first+i)%quota.LimitShares])
		switch {
		case !ok:
		case taken.Granted:
			found.granted = true
			return found
		default:
			again := time.Duration(taken.RetryAfterMS) * time.Millisecond
			if found.refused == 0 || again < found.again {
				found.again = again
			}
			found.refused++
			found.young = found.young || taken.NewTerm
		}
	}
	return found
}

// askLeader asks the leader of one shard. ok is false where there is none, or its answer
// came too late to be used.
func (c *call) askLeader(ctx context.Context, shard quota.Shard) (taken enginelink.QuotaGrant, ok bool) {
	link, term := c.gateway.leads.leader(shard)
	if link == nil {
		return taken, false
	}
	rpc := link.connection()
	if rpc == nil {
		return taken, false
	}
	ctx, cancel := context.WithTimeout(ctx, quotaTimeout)
	defer cancel()
	c.quota.asks, c.quota.term = c.quota.asks+1, term
	asked := boottime.Now()
	err := rpc.Call(ctx, enginelink.MethodAcquireQuota, enginelink.AcquireQuota{Shard: shard, Units: c.quota.units, Workspace: c.workspace.ID}, &taken)
	c.quota.taken = taken
	if err != nil || taken.NotLeader {
		c.gateway.leads.doubt(shard, term)
		return taken, false
	}
	late := taken.Granted && boottime.Since(asked) >= time.Duration(taken.ValidForMS)*time.Millisecond
	return taken, !late
}
