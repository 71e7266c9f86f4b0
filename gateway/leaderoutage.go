package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/access"
	"sandbarrow.example/sandbarrow/internal/boottime"
	"sandbarrow.example/sandbarrow/internal/pause"
	"sandbarrow.example/sandbarrow/quota"
	"sandbarrow.example/sandbarrow/quota/outage"
	"sandbarrow.example/sandbarrow/retry"
)

const (
	// outageReadPause is the shortest mean pause between two reads of the shards' keys while a limit
	// has no leader. It is as long as a short wait for a leader allows.
	outageReadPause = 500 * time.Millisecond
	// outageReadPausePerGateway is the mean pause for each gateway. All gateways read meanwhile;
	// together they make at most 60 reads a second.
	outageReadPausePerGateway = time.Second / 60
	// outageReadTimeout bounds one read. A slow store responds within it.
	outageReadTimeout = 400 * time.Millisecond
)

// leaderOutage is the gateway's view of a time in which a limit has no leader. It reads the shards'
// keys meanwhile, to tell an outage of the store from a lost leader. It is safe for concurrent use.
type leaderOutage struct {
	gateway  *Gateway
	refusals prometheus.Counter

	mu sync.Mutex
	// began is when the time without leaders began; zero while each limit has a leader.
	began time.Time
	// held tells for each shard whether its key had a holder when it was last read.
	held [quota.Shards]bool
	// refused counts the requests refused at once since began.
	refused  int
	schedule *outage.Schedule
	// snapshots are the last ones, by the first shard of a limit.
	snapshots [quota.Shards]*outage.Snapshot
	// storeBackAt and storeDownSince describe the reads since began, as in outage.Snapshot.
	storeBackAt, storeDownSince time.Time
}

// newLeaderOutage returns the view of a gateway and registers its metrics.
func newLeaderOutage(g *Gateway) *leaderOutage {
	o := &leaderOutage{gateway: g, refusals: prometheus.NewCounter(prometheus.CounterOpts{
		Name: "sandbarrow_gateway_leaderless_refusals_total", Help: "Requests refused at once, as waiting for a leader of their limit was in vain.",
	})}
	g.config.Metrics.MustRegister(o.refusals, prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "sandbarrow_gateway_leaderless_seconds", Help: "Time since which a limit has had no leader; 0 while each one has.",
	}, o.seconds))
	return o
}

// run follows times without leaders until ctx ends.
func (o *leaderOutage) run(ctx context.Context) error {
	for ctx.Err() == nil {
		if o.gateway.config.LeaderWait == outage.WaitPerRequest || !o.update(boottime.Now()) {
			pause.For(ctx, nominationInterval)
			continue
		}
		o.readKeys(ctx)
		pause.For(ctx, jitter(readPause(o.gateway.engines.gateways())))
	}
	return nil
}

// update begins or ends the time without leaders. It reports whether there is one.
func (o *leaderOutage) update(now time.Time) bool {
	leaderless := o.gateway.leaders.leaderless(now)
	workspaces := o.gateway.limitedWorkspaces()
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case leaderless == !o.began.IsZero():
	case leaderless:
		o.began, o.schedule = now, outage.NewSchedule(workspaces)
		o.gateway.logger.Warn("limits without leaders")
	default:
		o.gateway.logger.Info("limits have leaders again", "took_ms", now.Sub(o.began).Milliseconds(), "refused", o.refused)
		o.began, o.schedule, o.refused = time.Time{}, nil, 0
		o.held, o.storeBackAt, o.storeDownSince = [quota.Shards]bool{}, time.Time{}, time.Time{}
	}
	return leaderless
}

// readPause returns the mean pause between two reads for a number of gateways.
func readPause(gateways int) time.Duration {
	return max(outageReadPause, time.Duration(gateways)*outageReadPausePerGateway)
}

// readKeys reads which shards' keys have a holder.
func (o *leaderOutage) readKeys(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, outageReadTimeout)
	defer cancel()
	sentAt := boottime.Now()
	items, _, err := o.gateway.config.Store.Range(ctx, quota.KeyPrefix)
	now := boottime.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	if err != nil {
		if o.storeDownSince.IsZero() {
			o.storeDownSince = sentAt
			o.gateway.logger.Warn("store does not reply while limits have no leaders", "error", err.Error())
		}
		return
	}
	if !o.storeDownSince.IsZero() {
		o.storeBackAt, o.storeDownSince = now, time.Time{}
		o.gateway.logger.Info("store replies again while limits have no leaders")
	}
	o.held = [quota.Shards]bool{}
	for _, it := range items {
		if s, ok := quota.ShardOfKey(it.Key); ok {
			o.held[s] = true
		}
	}
}

// snapshot returns what is known about the leaders of a limit. Waiting calls ask often, so what has
// been found is reused for quotaPause.
func (o *leaderOutage) snapshot(now time.Time, id sandbarrow.WorkspaceID) *outage.Snapshot {
	first := quota.ShardsOf(id)[0]
	o.mu.Lock()
	recent := o.snapshots[first]
	o.mu.Unlock()
	if recent != nil && now.Sub(recent.Now) < quotaPause {
		return recent
	}
	s := &outage.Snapshot{LeaseTTL: quota.LeaseTTL, Now: now}
	for _, shard := range quota.ShardsOf(id) {
		h := outage.Share{}
		if since, _, missing := o.gateway.leaders.missing(shard, now); missing {
			h.FormerLinked, h.MissingSince = o.gateway.engines.isLinked(o.gateway.leaders.former(shard), now), since
		}
		s.Shares = append(s.Shares, h)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for i, shard := range quota.ShardsOf(id) {
		s.Shares[i].Held = o.held[shard]
	}
	s.StoreBackAt, s.StoreDownSince = o.storeBackAt, o.storeDownSince
	o.snapshots[first] = s
	return s
}

// seconds returns how long there has been a limit without a leader; 0 while there is none.
func (o *leaderOutage) seconds() float64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.began.IsZero() {
		return 0
	}
	return boottime.Since(o.began).Seconds()
}

// place returns after which time a caller that is refused now should retry; ok is false if there is no
// time without leaders. left is the time that the caller has.
func (o *leaderOutage) place(now, end time.Time, w *access.Workspace, units int64, left time.Duration) (after time.Duration, ok bool) {
	gateways := o.gateway.engines.gateways()
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.schedule == nil {
		return 0, false
	}
	return o.schedule.Place(now, end, w, units, gateways, retry.Follow(left)), true
}

// countRefusal counts a request that is refused at once.
func (o *leaderOutage) countRefusal() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.refused++
	o.refusals.Inc()
}

// limitedWorkspaces returns the workspaces with a limit.
func (g *Gateway) limitedWorkspaces() []*access.Workspace {
	var limited []*access.Workspace
	view := g.estate.View()
	if view == nil {
		return nil
	}
	for w := range view.Table.Keys.Workspaces {
		if w.Limit.Limited() {
			limited = append(limited, w)
		}
	}
	return limited
}

// leaderless reports whether a limit has had no usable leader of either share for outage.MinMissing.
func (q *quotaLeaders) leaderless(now time.Time) bool {
	var missing [quota.Shards]bool
	for s := range q.needed() {
		since, _, none := q.missing(s, now)
		missing[s] = none && now.Sub(since) >= outage.MinMissing
	}
	for _, w := range q.gateway.limitedWorkspaces() {
		all := true
		for _, s := range quota.ShardsOf(w.ID) {
			all = all && missing[s]
		}
		if all {
			return true
		}
	}
	return false
}

// isLinked reports whether the controller at an address is linked.
func (e *engines) isLinked(address string, now time.Time) bool {
	for _, l := range e.upLinks(now) {
		if l.address == address {
			return true
		}
	}
	return false
}
