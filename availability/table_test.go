package availability

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/throttle"
)

func TestLook(t *testing.T) {
	now := time.Now()
	ready := &sandbarrow.Instance{ID: upstream}
	draining := &sandbarrow.Instance{Draining: true, ID: upstream}
	for name, c := range map[string]struct {
		in     *sandbarrow.Instance
		report Report
		know   func(*Table)
		want   Check
	}{
		"nothing known":    {ready, Report{}, nil, Check{}},
		"linked":           {ready, Report{Instance: upstream}, nil, Check{}},
		"listed as such":   {draining, Report{}, nil, Check{Blocked: Draining}},
		"reported as such": {ready, Report{Draining: true}, nil, Check{Blocked: Draining}},
		"it says so itself": {ready, Report{}, func(x *Table) {
			x.Notices.Apply(now, upstream, http.StatusOK, sandbarrow.Announcement{Draining: true})
		}, Check{Blocked: Draining}},
		"its last start said so": {ready, Report{}, func(x *Table) {
			x.Notices.Apply(now, restart, http.StatusOK, sandbarrow.Announcement{Draining: true})
		}, Check{}},
		"it wants none for a time": {ready, Report{}, func(x *Table) {
			x.Notices.Apply(now, upstream, http.StatusServiceUnavailable, sandbarrow.Announcement{Backoff: time.Second})
		}, Check{Blocked: Backoff, Wait: time.Second}},
		"unreachable": {ready, Report{Unreachable: true}, nil, Check{Blocked: Unreachable}},
		"replaced":    {ready, Report{Instance: restart}, nil, Check{Blocked: Replaced}},
		"in flight":   {ready, Report{}, func(x *Table) { x.Outcomes.Begin(now, upstream) }, Check{InFlight: 1}},
		"its turn comes later": {ready, Report{}, func(x *Table) {
			x.Gates.Apply(now, upstream, throttle.Limit{At: now, Rate: 0.5})
			x.Gates.Begin(now, upstream)
		}, Check{Blocked: Limited, Limited: true, Penalty: 100 * time.Millisecond, Wait: 2 * time.Second}},
	} {
		var table Table
		if c.know != nil {
			c.know(&table)
		}
		assert.Equal(t, table.Check(now, c.in, c.report), c.want, name)
	}
}

func TestAccepts(t *testing.T) {
	now := time.Now()
	var table Table
	for want, listed := range map[Reason]*sandbarrow.Instance{
		"": {ID: upstream}, Draining: {Draining: true, ID: upstream}, Unlisted: nil,
	} {
		why, accepts := table.Accepts(now, listed)
		assert.Equal(t, why, want)
		assert.Equal(t, accepts, want == "")
	}
	table.Notices.Apply(now, upstream, http.StatusOK, sandbarrow.Announcement{Draining: true})
	why, _ := table.Accepts(now, &sandbarrow.Instance{ID: upstream})
	assert.Equal(t, why, Draining)
}

func TestUpstreamThatIsListedReadyAgainDrainsNoMore(t *testing.T) {
	now := time.Now()
	for _, id := range []sandbarrow.InstanceID{"u", upstream} {
		var table Table
		table.Notices.Apply(now, id, http.StatusOK, sandbarrow.Announcement{Draining: true})
		ready, draining := &sandbarrow.Instance{ID: id}, &sandbarrow.Instance{Draining: true, ID: id}
		assert.Equal(t, table.Check(now, ready, Report{}).Blocked, Draining, "the list lags")
		assert.Equal(t, table.Check(now, draining, Report{}).Blocked, Draining)
		assert.Equal(t, table.Check(now, ready, Report{}).Blocked, Reason(""), "it has started again")
	}
}

func TestRefusalWithATimeIsNoFailure(t *testing.T) {
	now := time.Now()
	ready := &sandbarrow.Instance{ID: upstream}
	var table Table
	table.Outcomes.Begin(now, upstream)
	table.Notices.Apply(now, upstream, http.StatusServiceUnavailable, sandbarrow.Announcement{Backoff: time.Second})
	table.End(now, upstream, true)
	why, accepts := table.Accepts(now, ready)
	assert.Assert(t, why == Backoff && !accepts)
	now = now.Add(time.Second)
	_, accepts = table.Accepts(now, ready)
	assert.Assert(t, accepts)
	assert.Equal(t, table.Check(now, ready, Report{}), Check{}, "nothing is left of it")
	table.Outcomes.Begin(now, upstream)
	table.End(now, upstream, true)
	assert.Assert(t, table.Check(now, ready, Report{}).Penalty > 0, "a failure without a time")
}
