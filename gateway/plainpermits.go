package gateway

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/enginelink"
	"sandbarrow.example/sandbarrow/internal/boottime"
	"sandbarrow.example/sandbarrow/permit"
	"sandbarrow.example/sandbarrow/sendkeepers"
)

// plainPermits requests permits to send to contended plain upstreams, and recognises contention. It is
// safe for concurrent use.
type plainPermits struct {
	enabled bool
	metrics *permitMetrics
	// own grants permits to all peers if this gateway is the coordinator.
	own     *enginelink.PermitCoordinator
	permits *sendkeepers.Permits
	// contended is set if any upstream may be contended. Otherwise lookups are skipped.
	contended atomic.Bool

	mu   sync.Mutex
	view permit.View
}

func newPlainPermits(g *Gateway) *plainPermits {
	p := &plainPermits{enabled: g.config.PlainPermits, own: enginelink.NewPermitCoordinator(nil)}
	p.permits = sendkeepers.NewPermits(g.permits.coordinators, p.own)
	p.metrics = newPermitMetrics(g.config.Metrics, p.count)
	return p
}

// count returns the number of contended upstreams.
func (p *plainPermits) count() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return float64(p.view.Count(boottime.Now()))
}

// begin applies a controller's notice that upstreams are contended.
func (p *plainPermits) begin(list []sandbarrow.InstanceID) {
	if !p.enabled {
		return
	}
	now := boottime.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, id := range list {
		p.view.Begin(now, id)
	}
	p.contended.Store(true)
}

// delay returns when a new request would start at an upstream, as far as known.
func (p *plainPermits) delay(now time.Time, id sandbarrow.InstanceID) time.Duration {
	if !p.contended.Load() {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.view.Delay(now, id)
}

// request returns what to request for a call, or false if the send needs no permit.
func (p *plainPermits) request(c *call, in *sandbarrow.Instance) (q enginelink.PermitRequest, need bool) {
	if !p.contended.Load() || in.Slots <= 0 {
		return q, false
	}
	now := boottime.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	need, sign := p.view.Contended(now, in.ID)
	if !need {
		p.contended.Store(p.view.Count(now) > 0)
		return q, false
	}
	service := p.view.Service(in.ID, c.route.Name)
	q = enginelink.PermitRequest{
		Instance: in.ID, LeftMS: c.timeLeft().Milliseconds(), Priority: c.priority(), ServiceUS: service.Microseconds(), Sign: sign,
		Slots: in.Slots, TTLMS: permit.TTL(c.timeLeft(), service).Milliseconds(),
	}
	if c.workspace != nil {
		q.Workspace = c.workspace.ID
	}
	return q, true
}

// replied applies the reply of a coordinator.
func (p *plainPermits) replied(id sandbarrow.InstanceID, g *enginelink.PermitGrant) {
	decision := g.Decision()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.view.Replied(boottime.Now(), id, &decision)
}

// observe applies a response of an upstream: how long a complete one took, or that the upstream was full.
// It reports the first sign of contention to the coordinators.
func (p *plainPermits) observe(c *call, in *sandbarrow.Instance, took time.Duration, full bool) {
	if !p.enabled || in.Slots <= 0 {
		return
	}
	now := boottime.Now()
	p.mu.Lock()
	first := false
	if full {
		first = p.view.Sign(now, in.ID)
	} else if took > 0 {
		first = p.view.Responded(now, in.ID, c.route.Name, took)
	}
	if first {
		p.contended.Store(true)
	}
	p.mu.Unlock()
	if first {
		c.gateway.logger.Info("upstream contended", "upstream", string(in.ID), "full", full, "took_ms", took.Milliseconds())
		p.permits.Sign(enginelink.PermitRequest{Instance: in.ID, Slots: in.Slots})
	}
}

// plainPermit is the right to send one request to a plain upstream.
type plainPermit struct {
	// permit is nil if the upstream is not contended.
	permit *sendkeepers.Permit
}

// release returns the permit of a request that was not sent.
func (p *plainPermit) release() {
	if p.permit != nil {
		p.permit.Return(0, false)
	}
}

// permitRequests is what a call has found out about contended plain upstreams.
type permitRequests struct {
	// asked and refused count the requests for permits.
	asked, refused int
	// drainedAt is the earliest time at which an upstream that refused has room; zero if none has refused.
	drainedAt time.Time
	waited    time.Duration
}

// attributes returns the log attributes; none if no permit was requested.
func (p *permitRequests) attributes() []slog.Attr {
	if p.asked == 0 {
		return nil
	}
	return []slog.Attr{slog.Int("permit_asks", p.asked), slog.Int("permit_refusals", p.refused), slog.Int64("permit_wait_ms", p.waited.Milliseconds())}
}

// retryAfter returns the time until the first upstream has room.
func (p *permitRequests) retryAfter(now time.Time) time.Duration {
	return max(p.drainedAt.Sub(now), minRetryAfter)
}

// permitPlain requests a permit if the upstream is contended, and waits for it until the upstream accepts
// no more requests. It returns nil if the request can't end there in the time that is left, with the reason
// if that is contention, or if the caller has left.
func (c *call) permitPlain(ctx context.Context, in *sandbarrow.Instance) (*plainPermit, reason) {
	p := c.gateway.plainPermits
	q, need := p.request(c, in)
	if !need {
		return &plainPermit{}, ""
	}
	wait, cancel := context.WithCancel(ctx)
	defer cancel()
	defer c.gateway.upstreams.cancelWhenBlocked(in, c, cancel)()
	if !c.gateway.upstreams.accepts(in) {
		return nil, ""
	}
	began := boottime.Now()
	granted, grant, err := p.permits.Request(wait, q)
	waited := boottime.Since(began)
	c.plain.asked++
	c.plain.waited += waited
	if err != nil && ctx.Err() == nil && wait.Err() != nil {
		p.metrics.asked(in.Service, "blocked", waited)
		return nil, ""
	}
	if err != nil {
		p.metrics.asked(in.Service, "left", waited)
		return nil, reasonContended
	}
	p.replied(in.ID, &grant)
	if granted == nil {
		c.plain.refused++
		at := boottime.Now().Add(time.Duration(grant.WaitMS) * time.Millisecond)
		if c.plain.drainedAt.IsZero() || at.Before(c.plain.drainedAt) {
			c.plain.drainedAt = at
		}
		p.metrics.asked(in.Service, "refused", waited)
		return nil, reasonContended
	}
	if !grant.Contended {
		p.metrics.asked(in.Service, "uncontended", waited)
	} else {
		p.metrics.asked(in.Service, "granted", waited)
	}
	return &plainPermit{permit: granted}, ""
}

// endPlain returns the permit of a request that took some time at an upstream, and applies what its
// response shows about contention. got is nil if the attempt failed.
func (c *call) endPlain(in *sandbarrow.Instance, slot *plainPermit, took time.Duration, got *completeResponse) {
	full := got != nil && c.notRun(got.response) && got.response.Status != http.StatusMisdirectedRequest && !c.announcesDrain(got)
	if got == nil || c.notRun(got.response) || got.response.Status >= http.StatusInternalServerError {
		took = 0 // shows nothing about the service time
	}
	if slot.permit != nil {
		slot.permit.Return(took, full)
	}
	c.gateway.plainPermits.observe(c, in, took, full)
}

// announcesDrain reports whether the response says that the upstream drains.
func (c *call) announcesDrain(got *completeResponse) bool {
	notice, err := c.gateway.config.UpstreamNotices.Read(got.response.Status, got.response.Header)
	return err == nil && notice.Draining
}
