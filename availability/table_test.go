package availability

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/throttle"
)

func TestTableCheck(t *testing.T) {
	now := time.Now()
	ready := &sandbarrow.Instance{ID: upstream}
	draining := &sandbarrow.Instance{Draining: true, ID: upstream}
	for name, c := range map[string]struct {
		upstream Upstream
		setup    func(*Table)
		want     Check
	}{
		"nothing known":        {Upstream{Instance: ready}, nil, Check{}},
		"linked":               {Upstream{Instance: ready, Report: Report{Instance: upstream}}, nil, Check{}},
		"listed as draining":   {Upstream{Instance: draining}, nil, Check{Blocked: Draining}},
		"reported as draining": {Upstream{Instance: ready, Report: Report{Draining: true}}, nil, Check{Blocked: Draining}},
		"evacuated":            {Upstream{Evacuated: true, Instance: ready, Report: Report{Instance: upstream}}, nil, Check{Blocked: Evacuated}},
		"evacuated, draining":  {Upstream{Evacuated: true, Instance: draining}, nil, Check{Blocked: Draining}},
		"drain notice": {Upstream{Instance: ready}, func(x *Table) {
			x.Notices.Apply(now, upstream, http.StatusOK, sandbarrow.UpstreamNotice{Draining: true})
		}, Check{Blocked: Draining}},
		"drain notice of another instance": {Upstream{Instance: ready}, func(x *Table) {
			x.Notices.Apply(now, restarted, http.StatusOK, sandbarrow.UpstreamNotice{Draining: true})
		}, Check{}},
		"backoff": {Upstream{Instance: ready}, func(x *Table) {
			x.Notices.Apply(now, upstream, http.StatusServiceUnavailable, sandbarrow.UpstreamNotice{Backoff: time.Second})
		}, Check{Blocked: Backoff, Wait: time.Second}},
		"unreachable": {Upstream{Instance: ready, Report: Report{Unreachable: true}}, nil, Check{Blocked: Unreachable}},
		"replaced":    {Upstream{Instance: ready, Report: Report{Instance: restarted}}, nil, Check{Blocked: Replaced}},
		"in flight":   {Upstream{Instance: ready}, func(x *Table) { x.Outcomes.Begin(now, upstream) }, Check{InFlight: 1}},
		"cold":        {Upstream{ColdRate: 19, Instance: &sandbarrow.Instance{ColdUntil: now.Add(time.Second), ID: upstream}}, nil, Check{Limited: true}},
		"cold, rate used up": {Upstream{ColdRate: 20, Instance: &sandbarrow.Instance{ColdUntil: now.Add(time.Second), ID: upstream}}, func(x *Table) {
			x.Gates.SetCold(now, upstream, throttle.Cold{Rate: 20, Until: now.Add(time.Second)})
			x.Gates.Begin(now, upstream)
		}, Check{Blocked: Limited, Limited: true, Wait: 50 * time.Millisecond}},
		"cold without a rate": {Upstream{Instance: &sandbarrow.Instance{ColdUntil: now.Add(time.Second), ID: upstream}}, nil, Check{}},
		"warm again": {Upstream{ColdRate: 19, Instance: ready}, func(x *Table) {
			x.Gates.SetCold(now, upstream, throttle.Cold{Rate: 19, Until: now.Add(time.Second)})
		}, Check{}},
		"limit used up": {Upstream{Instance: ready}, func(x *Table) {
			x.Gates.Apply(now, upstream, throttle.Limit{At: now, Rate: 0.5})
			x.Gates.Begin(now, upstream)
		}, Check{Blocked: Limited, Limited: true, Penalty: 100 * time.Millisecond, Wait: 2 * time.Second}},
	} {
		var table Table
		if c.setup != nil {
			c.setup(&table)
		}
		assert.Equal(t, table.Check(now, c.upstream), c.want, name)
	}
}

func TestAccepts(t *testing.T) {
	now := time.Now()
	var table Table
	for want, listed := range map[Reason]*sandbarrow.Instance{
		"": {ID: upstream}, Draining: {Draining: true, ID: upstream}, Unlisted: nil,
	} {
		reason, accepts := table.Accepts(now, Upstream{Instance: listed})
		assert.Equal(t, reason, want)
		assert.Equal(t, accepts, want == "")
	}
	reason, accepts := table.Accepts(now, Upstream{Evacuated: true, Instance: &sandbarrow.Instance{ID: upstream}})
	assert.Assert(t, reason == Evacuated && !accepts)
	table.Notices.Apply(now, upstream, http.StatusOK, sandbarrow.UpstreamNotice{Draining: true})
	reason, _ = table.Accepts(now, Upstream{Instance: &sandbarrow.Instance{ID: upstream}})
	assert.Equal(t, reason, Draining)
}

func TestUpstreamListedReadyAgainIsNoLongerDraining(t *testing.T) {
	now := time.Now()
	for _, id := range []sandbarrow.InstanceID{"u", upstream} {
		var table Table
		table.Notices.Apply(now, id, http.StatusOK, sandbarrow.UpstreamNotice{Draining: true})
		ready, draining := &sandbarrow.Instance{ID: id}, &sandbarrow.Instance{Draining: true, ID: id}
		assert.Equal(t, table.Check(now, Upstream{Instance: ready}).Blocked, Draining, "the list does not show the drain yet")
		assert.Equal(t, table.Check(now, Upstream{Instance: draining}).Blocked, Draining)
		assert.Equal(t, table.Check(now, Upstream{Instance: ready}).Blocked, Reason(""), "the listed instance is a new one")
	}
}

func TestRefusalWithBackoffIsNotAFailure(t *testing.T) {
	now := time.Now()
	ready := &sandbarrow.Instance{ID: upstream}
	var table Table
	table.Outcomes.Begin(now, upstream)
	table.Notices.Apply(now, upstream, http.StatusServiceUnavailable, sandbarrow.UpstreamNotice{Backoff: time.Second})
	table.End(now, upstream, true)
	reason, accepts := table.Accepts(now, Upstream{Instance: ready})
	assert.Assert(t, reason == Backoff && !accepts)
	now = now.Add(time.Second)
	_, accepts = table.Accepts(now, Upstream{Instance: ready})
	assert.Assert(t, accepts)
	assert.Equal(t, table.Check(now, Upstream{Instance: ready}), Check{}, "the refusal leaves no penalty")
	table.Outcomes.Begin(now, upstream)
	table.End(now, upstream, true)
	assert.Assert(t, table.Check(now, Upstream{Instance: ready}).Penalty > 0, "a failure without a backoff")
}
