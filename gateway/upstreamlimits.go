package gateway

import (
	"net/http"
	"sync"
	"time"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/forward"
	"sandbarrow.example/sandbarrow/internal/boottime"
	"sandbarrow.example/sandbarrow/throttle"
)

// upstreamLimits keeps the limits that upstreams name in their answers. It is safe for
// concurrent use.
type upstreamLimits struct {
	gateway *Gateway

	mu    sync.Mutex
	table throttle.Table
}

func newUpstreamLimits(g *Gateway) *upstreamLimits {
	return &upstreamLimits{gateway: g}
}

// inForce returns the limit that an upstream names, or false.
func (u *upstreamLimits) inForce(id sandbarrow.InstanceID) (throttle.Rate, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.table.InForce(boottime.Now(), id)
}

// limited counts the upstreams that name a limit.
func (u *upstreamLimits) limited() float64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	return float64(u.table.Limited())
}

// observe reads the limit that an upstream names in an answer to a request sent at a time. A
// malformed one says nothing, and neither does the answer of another instance that has its
// address. That an upstream names none any more is believed of an answer alone that it did
// not fail.
func (u *upstreamLimits) observe(in *sandbarrow.Instance, sent time.Time, a *forward.Answer) {
	text := a.Header.Get(u.gateway.config.Headers.Limit)
	now := boottime.Now()
	said := throttle.Limit{At: now}
	switch {
	case a.Status == http.StatusMisdirectedRequest:
		return
	case text != "":
		rate, err := throttle.ParseRate(text)
		if err != nil {
			u.gateway.logger.Warn("limit of an upstream not read", "upstream", string(in.ID), "error", err.Error())
			return
		}
		said.Rate = rate
	case a.Status >= http.StatusInternalServerError:
		return
	default:
		said = throttle.Limit{At: sent, Ended: true}
	}
	u.mu.Lock()
	changed := u.table.Apply(now, in.ID, said)
	u.mu.Unlock()
	if changed {
		u.gateway.logger.Info("limit of an upstream", "upstream", string(in.ID), "service", string(in.Service), "rate", float64(said.Rate), "ended", said.Ended)
	}
}

// sentNow notes that a request leaves for an upstream, and returns when.
func (c *call) sentNow(in *sandbarrow.Instance) time.Time {
	rate, limited := c.gateway.limits.inForce(in.ID)
	c.limit = float64(rate)
	if limited {
		c.gateway.metrics.limitedSends.WithLabelValues(string(in.Service)).Inc()
	}
	return boottime.Now()
}
