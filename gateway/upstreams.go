package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/availability"
	"sandbarrow.example/sandbarrow/enginelink"
	"sandbarrow.example/sandbarrow/forward"
	"sandbarrow.example/sandbarrow/internal/boottime"
	"sandbarrow.example/sandbarrow/throttle"
)

// upstreams is the state of upstreams beyond what the list contains. It is safe for concurrent use.
type upstreams struct {
	gateway *Gateway
	// limits is set if any limit or cold start is known. Without one, lookups are skipped.
	limits atomic.Bool

	mu    sync.Mutex
	table availability.Table
	// waiting holds the calls that wait at an upstream before they send it a request.
	waiting map[sandbarrow.InstanceID]*waits
}

// waits holds the calls that wait at one upstream, with the functions that cancel the waits.
type waits struct {
	cancels  map[*call]func()
	instance *sandbarrow.Instance
}

// cancelBlockedWaits cancels the waits at upstreams that accept no more requests by a change of the
// list.
func (u *upstreams) cancelBlockedWaits() {
	u.mu.Lock()
	waiting := make([]*sandbarrow.Instance, 0, len(u.waiting))
	for _, w := range u.waiting {
		waiting = append(waiting, w.instance)
	}
	u.mu.Unlock()
	for _, in := range waiting {
		if u.accepts(in) {
			continue
		}
		u.mu.Lock()
		u.cancelWaits(in.ID)
		u.mu.Unlock()
	}
}

// cancelWhenBlocked calls stop once an upstream accepts no more requests, by its own word or by the
// list, or once its failure domain is evacuated, so that the call does not wait there in vain. The
// returned function ends this.
func (u *upstreams) cancelWhenBlocked(in *sandbarrow.Instance, c *call, stop func()) (end func()) {
	u.mu.Lock()
	defer u.mu.Unlock()
	w := u.waiting[in.ID]
	if w == nil {
		w = &waits{cancels: map[*call]func(){}, instance: in}
		u.waiting[in.ID] = w
	}
	w.cancels[c] = stop
	return func() {
		u.mu.Lock()
		defer u.mu.Unlock()
		delete(w.cancels, c)
		if len(w.cancels) == 0 {
			delete(u.waiting, in.ID)
		}
	}
}

// cancelWaits cancels the waits at an upstream. The caller holds mu.
func (u *upstreams) cancelWaits(id sandbarrow.InstanceID) {
	if w := u.waiting[id]; w != nil {
		w.cancelAll()
	}
}

// cancelWaitsIn cancels the waits at all upstreams of a failure domain.
func (u *upstreams) cancelWaitsIn(domain sandbarrow.FailureDomain) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, w := range u.waiting {
		if w.instance.FailureDomain == domain {
			w.cancelAll()
		}
	}
}

func (w *waits) cancelAll() {
	for _, cancel := range w.cancels {
		cancel()
	}
}

// describe returns what others have reported about a listed upstream, with the last report of its
// controller.
func (u *upstreams) describe(in *sandbarrow.Instance, r availability.Report) availability.Upstream {
	view := u.gateway.estate.View()
	upstream := availability.Upstream{Evacuated: view.Evacuated(in.FailureDomain), Instance: in, Report: r}
	if !in.ColdUntil.IsZero() && view != nil {
		if service := view.Table.Services[in.Service]; service != nil {
			upstream.ColdRate = service.ColdRate
		}
	}
	return upstream
}

// describeListed returns what is now reported about an upstream that was listed a while ago.
func (u *upstreams) describeListed(in *sandbarrow.Instance) availability.Upstream {
	listed := u.gateway.directory.View().Find(in)
	if listed == nil {
		return availability.Upstream{}
	}
	return u.describe(listed, availability.Report{})
}

// check decides whether a request may be sent to an upstream now, and if not, when.
func (u *upstreams) check(now time.Time, in *sandbarrow.Instance, r availability.Report) availability.Check {
	upstream := u.describe(in, r)
	u.mu.Lock()
	defer u.mu.Unlock()
	result := u.table.Check(now, upstream)
	if result.Limited {
		u.limits.Store(true)
	}
	return result
}

// accepts decides whether a request that chose an upstream a while ago may still be sent there.
func (u *upstreams) accepts(in *sandbarrow.Instance) bool {
	upstream := u.describeListed(in)
	u.mu.Lock()
	defer u.mu.Unlock()
	_, accepts := u.table.Accepts(boottime.Now(), upstream)
	u.limits.Store(!u.table.Gates.Empty())
	return accepts
}

// drains reports whether an upstream drains, by the list or by its own notice.
func (u *upstreams) drains(in *sandbarrow.Instance) bool {
	upstream := u.describeListed(in)
	if upstream.Instance == nil {
		upstream.Instance = in
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	why, _ := u.table.Accepts(boottime.Now(), upstream)
	return why == availability.Draining
}

// beginRequest counts a request that is sent.
func (u *upstreams) beginRequest(id sandbarrow.InstanceID) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.table.Outcomes.Begin(boottime.Now(), id)
}

// endRequest counts the outcome of a request.
func (u *upstreams) endRequest(id sandbarrow.InstanceID, failed bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.table.End(boottime.Now(), id, failed)
}

// observeResponse reads the notices in an upstream's response to a request sent at a time. It
// ignores the response of another instance.
func (u *upstreams) observeResponse(in *sandbarrow.Instance, sent time.Time, a *forward.UpstreamResponse) {
	if name := a.Header.Get(u.gateway.config.Headers.Instance); name != "" && sandbarrow.ListedID(name) != in.ID.Listed() {
		return
	}
	notice, err := u.gateway.config.UpstreamNotices.Read(a.Status, a.Header)
	if err != nil {
		u.gateway.logger.Warn("announcement of an upstream not read", "upstream", string(in.ID), "error", err.Error())
	} else {
		u.observeLimit(in.ID, sent, a.Status, notice.Limit)
	}
	u.mu.Lock()
	change := u.table.Notices.Apply(boottime.Now(), in.ID, a.Status, notice)
	if change.Backoff || change.Draining {
		u.cancelWaits(in.ID)
	}
	u.mu.Unlock()
	if change.Draining {
		u.gateway.logger.Info("upstream announces that it drains", "upstream", string(in.ID), "address", in.Address, "listed_draining", in.Draining)
	}
	if change.Backoff {
		u.gateway.logger.Info("upstream wants no requests", "upstream", string(in.ID), "address", in.Address, "backoff_ms", notice.Backoff.Milliseconds())
	}
}

// recordUnsent records what a failed connection shows about its upstream.
func (u *upstreams) recordUnsent(in *sandbarrow.Instance, err error) {
	if !errors.Is(err, forward.ErrConnectionRefused) {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.table.Notices.Exited(boottime.Now(), in.ID)
}

// observeLimit applies the limit that an upstream names in a response; named is nil if it names
// none.
func (u *upstreams) observeLimit(id sandbarrow.InstanceID, sent time.Time, status int, named *sandbarrow.RequestRate) {
	if named == nil && !u.limits.Load() {
		return
	}
	now := boottime.Now()
	limit, known := throttle.LimitFromResponse(now, sent, status, named)
	if !known {
		return
	}
	u.mu.Lock()
	changed := u.table.Gates.Apply(now, id, limit)
	u.limits.Store(!u.table.Gates.Empty())
	record, _ := u.table.Gates.Record(now, id)
	u.mu.Unlock()
	if changed {
		u.logLimit(record)
		u.gateway.permits.coordinators.Report(enginelink.Sent{Record: record})
	}
}

// mergeLimit merges a record of an upstream's limit from another process.
func (u *upstreams) mergeLimit(r throttle.Record) {
	u.mu.Lock()
	changed := u.table.Gates.Merge(boottime.Now(), r)
	u.limits.Store(!u.table.Gates.Empty())
	u.mu.Unlock()
	if changed {
		u.logLimit(r)
	}
}

func (u *upstreams) logLimit(r throttle.Record) {
	u.gateway.logger.Info("limit of an upstream", "upstream", string(r.Instance), "rate", float64(r.Rate), "ended", r.Ended, "age_ms", r.AgeMS)
}

// limitInForce returns the limit that an upstream names, or false.
func (u *upstreams) limitInForce(id sandbarrow.InstanceID) (throttle.Limit, bool) {
	if !u.limits.Load() {
		return throttle.Limit{}, false
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.table.Gates.InForce(boottime.Now(), id)
}

// beginPermitRequest records that a request asks for a permit, if it needs one and may have it.
func (u *upstreams) beginPermitRequest(id sandbarrow.InstanceID) (record throttle.Record, need, may bool) {
	if !u.limits.Load() {
		return record, false, true
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.table.Gates.Begin(boottime.Now(), id)
}

// endPermitRequest records the result of a request for a permit within a time.
func (u *upstreams) endPermitRequest(id sandbarrow.InstanceID, g *enginelink.SendGrant, within time.Duration) {
	if g.Limit != nil {
		u.mergeLimit(*g.Limit)
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.table.Gates.End(boottime.Now(), id, throttle.Grant{Granted: g.Granted, Wait: time.Duration(g.WaitMS) * time.Millisecond}, within)
}

// notice returns the notice of an upstream that is in force.
func (u *upstreams) notice(now time.Time, id sandbarrow.InstanceID) availability.Notice {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.table.Notices.Check(now, id)
}

// limited counts the upstreams that name a limit.
func (u *upstreams) limited() float64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	return float64(u.table.Gates.CountLimited())
}

// draining counts the upstreams that have announced that they drain.
func (u *upstreams) draining() float64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	n, _ := u.table.Notices.Count(boottime.Now())
	return float64(n)
}

// backingOff counts the upstreams that are in backoff.
func (u *upstreams) backingOff() float64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	_, n := u.table.Notices.Count(boottime.Now())
	return float64(n)
}
