package gateway

import (
	"log/slog"
	"net/http"
	"time"

	"sandbarrow.example/sandbarrow/internal/boottime"
	"sandbarrow.example/sandbarrow/quota/outage"
)

// refuseLeaderless refuses the call at once if it would wait in vain for a leader. spare is for how long
// it may wait. Nothing has been sent. It reports whether it has refused the call.
func (c *call) refuseLeaderless(spare time.Duration) bool {
	o := c.gateway.outage
	if o.seconds() == 0 || c.request.Context().Err() != nil {
		return false
	}
	f := outage.Predict(o.snapshot(boottime.Now(), c.workspace.ID), spare)
	if !f.Vain {
		return false
	}
	after, ok := c.placeReturn(f.End)
	if !ok {
		return false
	}
	o.countRefusal()
	c.gateway.metrics.quotaDecided(c, "leaderless")
	c.refuseWithRetryAfter(http.StatusServiceUnavailable, reasonNoLeader, after)
	return true
}

// leaderRetryAfter returns when the caller should retry after it has waited for a leader.
func (c *call) leaderRetryAfter() time.Duration {
	f := outage.Predict(c.gateway.outage.snapshot(boottime.Now(), c.workspace.ID), 0)
	after, ok := c.placeReturn(f.End)
	if !ok {
		return jitter(retryAfter)
	}
	return after
}

// placeReturn returns when the caller should retry if leaders are back at a time; ok is false if there is no
// time without leaders.
func (c *call) placeReturn(end time.Time) (after time.Duration, ok bool) {
	now := boottime.Now()
	after, ok = c.gateway.outage.place(now, end, c.workspace, c.quota.units, c.timeLeft())
	if ok {
		c.quota.leadersIn = end.Sub(now)
	}
	return max(after, minRetryAfter), ok
}

// leaderlessAttributes returns the log attribute of a call that was refused without a leader; none
// if it was not.
func (q *quotaRequest) leaderlessAttributes() []slog.Attr {
	if q.leadersIn == 0 {
		return nil
	}
	return []slog.Attr{slog.Int64("quota_leaders_in_ms", q.leadersIn.Milliseconds())}
}
