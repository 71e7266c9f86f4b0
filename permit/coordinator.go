package permit

import (
	"time"

	"sandbarrow.example/sandbarrow"
)

const (
	// forgetTime is how long an upstream without requests is remembered.
	forgetTime = 10 * time.Second
	// maxUpstreams bounds the upstreams that are remembered. Requests for others are granted as if
	// the upstream were not contended.
	maxUpstreams = 1024
)

// Coordinator decides on the permits of any number of upstreams. Its zero value knows none.
type Coordinator struct {
	upstreams map[sandbarrow.InstanceID]*upstream
	// began lists the upstreams that have become contended since the last TakeBegun.
	began []sandbarrow.InstanceID
}

// Ask adds a request. It returns the decisions that are now made, which may include those on earlier
// requests. A request without a decision waits.
func (c *Coordinator) Ask(now time.Time, r *Request) []Decision {
	free := []Decision{{ID: r.ID, Granted: true}}
	u := c.upstreams[r.Instance]
	if u == nil && !r.Sign || r.Slots <= 0 {
		return free
	}
	if u = c.find(now, r.Instance, r.Slots); u == nil {
		return free
	}
	u.prior = r.Service
	if r.Sign && !u.contended { // a sign does not prolong the mode
		c.begin(now, r.Instance, u)
	}
	decisions := u.advance(now)
	if !u.contended {
		return append(decisions, free...)
	}
	return append(decisions, u.enqueue(now, r)...)
}

// Report applies what a gateway reports, and returns the decisions that follow.
func (c *Coordinator) Report(now time.Time, r *Report) []Decision {
	u := c.upstreams[r.Instance]
	if r.Kind != Returned && r.Slots > 0 {
		u = c.find(now, r.Instance, r.Slots)
	}
	if u == nil {
		return nil
	}
	switch r.Kind {
	case Granted:
		c.begin(now, r.Instance, u)
		u.hold(now, r.ID, held{expires: now.Add(min(r.TTL, maxTTL))})
	case Returned:
		u.release(now, r)
	case Sign:
		c.begin(now, r.Instance, u)
	}
	return u.advance(now)
}

// Advance applies the passage of time, and returns the decisions that follow.
func (c *Coordinator) Advance(now time.Time) []Decision {
	var decisions []Decision
	for _, u := range c.upstreams {
		decisions = append(decisions, u.advance(now)...)
	}
	c.forgetIdle(now)
	return decisions
}

// forgetIdle forgets the upstreams that are not in use.
func (c *Coordinator) forgetIdle(now time.Time) {
	for id, u := range c.upstreams {
		if len(u.outstanding) == 0 && u.waiting.len() == 0 && now.Sub(u.lastUsed) >= forgetTime {
			delete(c.upstreams, id)
		}
	}
}

// Next returns when Advance is due; zero if no permit is outstanding and no request waits.
func (c *Coordinator) Next() time.Time {
	var next time.Time
	for _, u := range c.upstreams {
		if at := u.next(); !at.IsZero() && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	return next
}

// TakeBegun returns the upstreams that have become contended since the last call.
func (c *Coordinator) TakeBegun() []sandbarrow.InstanceID {
	began := c.began
	c.began = nil
	return began
}

// Counts returns the numbers of contended upstreams, outstanding permits and waiting requests.
func (c *Coordinator) Counts() (contended, outstanding, waits int) {
	for _, u := range c.upstreams {
		if u.contended {
			contended++
		}
		outstanding += len(u.outstanding)
		waits += u.waiting.len()
	}
	return contended, outstanding, waits
}

// find returns the state of an upstream, or nil if too many are known.
func (c *Coordinator) find(now time.Time, id sandbarrow.InstanceID, slots int) *upstream {
	u := c.upstreams[id]
	if u == nil {
		if len(c.upstreams) >= maxUpstreams {
			c.forgetIdle(now)
		}
		if len(c.upstreams) >= maxUpstreams {
			return nil
		}
		if c.upstreams == nil {
			c.upstreams = map[sandbarrow.InstanceID]*upstream{}
		}
		u = newUpstream(slots)
		c.upstreams[id] = u
	}
	u.setSlots(slots)
	u.lastUsed = now
	return u
}

func (c *Coordinator) begin(now time.Time, id sandbarrow.InstanceID, u *upstream) {
	if u.begin(now) {
		c.began = append(c.began, id)
	}
}
