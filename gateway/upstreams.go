package gateway

import (
	"sync"
	"time"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/availability"
	"sandbarrow.example/sandbarrow/forward"
	"sandbarrow.example/sandbarrow/internal/boottime"
)

// upstreams is what this gateway knows of upstreams by their answers. It is safe for concurrent
// use.
type upstreams struct {
	gateway *Gateway

	mu      sync.Mutex
	notices availability.Notices
}

// observe reads what an upstream announces in its answer to a request sent at a time.
func (u *upstreams) observe(in *sandbarrow.Instance, sent time.Time, a *forward.Answer) {
	announced, err := u.gateway.config.Announcements.Read(a.Status, a.Header)
	if err != nil {
		u.gateway.logger.Warn("announcement of an upstream not read", "upstream", string(in.ID), "error", err.Error())
	} else {
		u.gateway.limits.observe(in, sent, a.Status, announced.Limit)
	}
	u.mu.Lock()
	change := u.notices.Apply(boottime.Now(), in.ID, a.Status, announced)
	u.mu.Unlock()
	if change.Draining {
		u.gateway.logger.Info("upstream announces that it drains", "upstream", string(in.ID), "address", in.Address, "listed_draining", in.Draining)
	}
	if change.Backoff {
		u.gateway.logger.Info("upstream wants no requests", "upstream", string(in.ID), "address", in.Address, "backoff_ms", announced.Backoff.Milliseconds())
	}
}

// notice returns what an upstream has announced.
func (u *upstreams) notice(now time.Time, id sandbarrow.InstanceID) availability.Notice {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.notices.Look(now, id)
}

// draining counts the upstreams that have announced that they drain.
func (u *upstreams) draining() float64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	n, _ := u.notices.Count(boottime.Now())
	return float64(n)
}

// backingOff counts the upstreams that want no requests now.
func (u *upstreams) backingOff() float64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	_, n := u.notices.Count(boottime.Now())
	return float64(n)
}
