package gateway

import (
	"math/rand/v2"
	"time"

	"sandbarrow.example/sandbarrow/enginelink"
	"sandbarrow.example/sandbarrow/quota"
	"sandbarrow.example/sandbarrow/retry"
)

// quotaQuery returns the question for the leader of a shard. The caller is told the reply of the last
// leader that is asked, so only that one counts its return.
func (c *call) quotaQuery(shard quota.Shard, last bool) *enginelink.AcquireQuota {
	q := &enginelink.AcquireQuota{Priority: c.route.Priority, Shard: shard, Units: c.quota.units, Workspace: c.workspace.ID}
	if last {
		q.FollowMS = retry.Follow(c.timeLeft()).Milliseconds()
	}
	return q
}

// limitRetryAfter returns when a caller over its limit should retry: when there is room for it. Callers
// without a turn may have been told the same time. They are spread behind it, so that not all come at
// once.
func limitRetryAfter(now time.Time, r quotaRefusal) time.Duration {
	after := max(r.roomAt.Sub(now), minRetryAfter)
	if r.turn {
		return after
	}
	return after + rand.N(after)
}
