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
	// quotaTimeout bounds one call to a leader. It is many round trips, and short compared with the
	// time until another controller leads.
	quotaTimeout = 300 * time.Millisecond
	// quotaPause is the pause between two checks for a leader.
	quotaPause = 20 * time.Millisecond
)

// quotaRefusal is the refusal of a request by a leader.
type quotaRefusal struct {
	// roomAt is when the leader expects room for the request.
	roomAt time.Time
	// turn says that other callers are told to come back later than roomAt.
	turn bool
	// newLeader says that the leader has only just begun its term.
	newLeader bool
}

// quotaRequest is the result of requesting quota units, for the log line of the call.
type quotaRequest struct {
	attempts int
	// leadersIn is when the limit is likely to have a leader again, if the call was refused without
	// one.
	leadersIn time.Duration
	reply     enginelink.QuotaGrant
	// refusals are those of leaders that expect room for the request later, by shard.
	refusals map[quota.Shard]quotaRefusal
	// term is the term of the last leader that was queried.
	term  quota.Term
	units int64
	// waited is how long the call waited for the reply.
	waited time.Duration
}

// attributes returns the log attributes of the quota request; none if no leader was queried.
func (q *quotaRequest) attributes() []slog.Attr {
	if q.attempts == 0 {
		return nil
	}
	return []slog.Attr{
		slog.Int64("units", q.units), slog.Int("quota_asks", q.attempts), slog.Uint64("quota_term", uint64(q.term)),
		slog.Int64("quota_wait_ms", q.waited.Milliseconds()), slog.Int64("quota_retry_ms", q.reply.RetryAfterMS),
		slog.Bool("quota_turn", q.reply.Turn),
	}
}

// acquireQuota acquires the units that the request costs from its workspace's limit, before any
// other work is done for it. If the limit is used up, or no leader replies, it responds to the
// caller and returns false. Units are not returned if the request is not run.
func (c *call) acquireQuota(ctx context.Context) bool {
	if c.workspace == nil || !c.workspace.Limit.Limited() {
		return true
	}
	began := time.Now()
	c.quota.units = c.workspace.Limit.Cost(c.request.Header.Get(c.gateway.config.Headers.Tokens))
	for {
		reply := c.queryShares(ctx)
		c.quota.waited = time.Since(began)
		spare := c.spareTime(likelyDeviations)
		switch {
		case reply.granted:
			c.gateway.metrics.quotaDecided(c, "granted")
			return true
		case reply.overLimit(boottime.Now(), spare):
			c.gateway.metrics.quotaDecided(c, "refused")
			c.refuseWithRetryAfter(http.StatusTooManyRequests, reasonLimit, limitRetryAfter(boottime.Now(), reply.last))
			return false
		case reply.refusals == 0 && c.refuseLeaderless(spare):
			return false
		case ctx.Err() != nil || spare <= 0:
			c.gateway.metrics.quotaDecided(c, "leaderless")
			c.giveUp(ctx, reasonNoLeader)
			return false
		}
		pause.For(ctx, min(quotaPause, spare))
	}
}

// sharesReply is the combined reply of the leaders of a limit's shares.
type sharesReply struct {
	granted bool
	// last is the last refusal, and refusals is the number of leaders that refused.
	last     quotaRefusal
	refusals int
	// newLeader is set if a leader that refused has only just begun its term.
	newLeader bool
}

// overLimit decides whether a request that leaders refused is refused. It is if the leaders of all shares
// refused it. While a share has no leader, or one whose term has no units yet, the others are asked for more
// than their part. A request then waits until there is room, if it can spare that time.
func (r *sharesReply) overLimit(now time.Time, spare time.Duration) bool {
	if r.refusals == 0 {
		return false
	}
	return r.refusals == quota.LimitShares && !r.newLeader || spare <= 0 || r.last.roomAt.Sub(now) > spare
}

func (r *sharesReply) refuse(by quotaRefusal) {
	r.last = by
	r.refusals++
	r.newLeader = r.newLeader || by.newLeader
}

// queryShares queries the leaders of the shares in turn, in an order with a random start, until one
// grants the request. A leader that has refused it is asked again when it expects room for it.
func (c *call) queryShares(ctx context.Context) sharesReply {
	var combined sharesReply
	shards := quota.ShardsOf(c.workspace.ID)
	first := rand.IntN(quota.LimitShares)
	for i := range shards {
		shard := shards[(first+i)%quota.LimitShares]
		if refusal, ok := c.quota.refusals[shard]; ok && boottime.Now().Before(refusal.roomAt) {
			combined.refuse(refusal)
			continue
		}
		reply, ok := c.queryLeader(ctx, shard, i == quota.LimitShares-1)
		switch {
		case !ok:
		case reply.Granted:
			combined.granted = true
			return combined
		default:
			combined.refuse(c.quota.recordRefusal(shard, &reply))
		}
	}
	return combined
}

// recordRefusal records the refusal of the leader of a shard.
func (q *quotaRequest) recordRefusal(s quota.Shard, g *enginelink.QuotaGrant) quotaRefusal {
	if q.refusals == nil {
		q.refusals = map[quota.Shard]quotaRefusal{}
	}
	room := time.Duration(g.RetryAfterMS) * time.Millisecond
	q.refusals[s] = quotaRefusal{roomAt: boottime.Now().Add(room), turn: g.Turn, newLeader: g.NewTerm}
	return q.refusals[s]
}

// queryLeader queries the leader of one shard. last says that the caller is told its reply. ok is false if
// there is none, or if its reply came too late to be used.
func (c *call) queryLeader(ctx context.Context, shard quota.Shard, last bool) (reply enginelink.QuotaGrant, ok bool) {
	link, term := c.gateway.leaders.leader(shard)
	if link == nil {
		return reply, false
	}
	rpc := link.connection()
	if rpc == nil {
		return reply, false
	}
	ctx, cancel := context.WithTimeout(ctx, quotaTimeout)
	defer cancel()
	c.quota.attempts, c.quota.term = c.quota.attempts+1, term
	sent := boottime.Now()
	err := rpc.Call(ctx, enginelink.MethodAcquireQuota, c.quotaQuery(shard, last), &reply)
	c.quota.reply = reply
	if err != nil || reply.NotLeader {
		c.gateway.leaders.markSuspect(shard, term)
		return reply, false
	}
	late := reply.Granted && boottime.Since(sent) >= time.Duration(reply.ValidForMS)*time.Millisecond
	return reply, !late
}
