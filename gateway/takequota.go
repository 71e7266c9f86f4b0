package gateway

import (
	"context"
	"net/http"
	"time"

	"sandbarrow.example/sandbarrow/enginelink"
	"sandbarrow.example/sandbarrow/internal/pause"
	"sandbarrow.example/sandbarrow/quota"
)

const (
	// quotaTimeout bounds one question to a leader: many round trips, short against the
	// time until another one leads. Estimate, not measured.
	quotaTimeout = 300 * time.Millisecond
	// quotaWait is how long a request waits for a leader: until another one leads after one
	// was lost. A late answer serves its caller better than a refusal. Estimate, not
	// measured.
	quotaWait = 2 * time.Second
	// quotaWaitShare: a request waits for one of so many parts of its time at most.
	quotaWaitShare = 2
	// quotaPause is the pause between two looks for a leader. Estimate, not measured.
	quotaPause = 20 * time.Millisecond
	// leastQuotaRetry is the least time after which a caller over its limit is told to come
	// back. Estimate, not measured.
	leastQuotaRetry = 100 * time.Millisecond
)

// takeQuota takes what the request counts from its workspace's limit, before anything else
// is done for it. Where the limit is used up, or nobody can tell, it answers and returns
// false. What a request has taken is not given back where it was not run.
func (c *call) takeQuota(ctx context.Context) bool {
	if c.workspace == nil || !c.workspace.Limit.Limited() {
		return true
	}
	units := c.workspace.Limit.Cost(c.request.Header.Get(c.gateway.config.Headers.Tokens))
	until := time.Now().Add(min(quotaWait, time.Until(c.ends)/quotaWaitShare))
	for ctx.Err() == nil && time.Now().Before(until) {
		taken, ok := c.askQuota(ctx, units)
		switch {
		case !ok:
			pause.For(ctx, quotaPause)
		case taken.Granted:
			return true
		default:
			again := time.Duration(taken.RetryMS) * time.Millisecond
			c.refuseFor(http.StatusTooManyRequests, reasonLimit, max(again, leastQuotaRetry))
			return false
		}
	}
	c.giveUp(ctx, reasonNoLeader)
	return false
}

// askQuota asks the leader of the workspace's shard. ok is false where there is none, or
// its answer came too late to be used.
func (c *call) askQuota(ctx context.Context, units int64) (taken enginelink.Taken, ok bool) {
	shard := quota.ShardOf(c.workspace.ID)
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
	asked := time.Now()
	err := rpc.Call(ctx, enginelink.MethodTake, enginelink.Take{Units: units, Workspace: c.workspace.ID}, &taken)
	if err != nil || taken.NotLeading {
		c.gateway.leads.doubt(shard, term)
		return taken, false
	}
	late := taken.Granted && time.Since(asked) >= time.Duration(taken.LifeMS)*time.Millisecond
	return taken, !late
}
