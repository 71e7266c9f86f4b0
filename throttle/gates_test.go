package throttle

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestGatesBoundQueries(t *testing.T) {
	now := time.Now()
	var g Gates
	_, required, may := g.Begin(now, upstream)
	assert.Assert(t, !required && may, "the upstream names no limit")
	g.Apply(now, upstream, Limit{At: now, Rate: 0.5})
	record, required, may := g.Begin(now, upstream)
	assert.Assert(t, required && may)
	assert.Equal(t, record, named(0.5))
	_, _, may = g.Begin(now, upstream)
	assert.Assert(t, !may, "another query is in progress")
	wait, _ := g.Check(now, upstream)
	assert.Equal(t, wait, Rate(0.5).Interval())
	g.End(now, upstream, Grant{Wait: 700 * time.Millisecond}, MaxWait)
	_, _, may = g.Begin(now.Add(400*time.Millisecond), upstream)
	assert.Assert(t, !may, "no send can be granted in time")
	wait, _ = g.Check(now.Add(400*time.Millisecond), upstream)
	assert.Equal(t, wait, 300*time.Millisecond)
	_, _, may = g.Begin(now.Add(510*time.Millisecond), upstream)
	assert.Assert(t, may, "a send can be granted within MaxWait")
	g.End(now, upstream, Grant{Wait: time.Hour}, 0)
	_, _, may = g.Begin(now.Add(maxQueryInterval), upstream)
	assert.Assert(t, may, "the limit may have ended")
	g.End(now, upstream, Grant{Granted: true}, 0)
	g.Apply(now.Add(time.Minute), upstream, Limit{At: now.Add(time.Minute), Ended: true})
	_, required, may = g.Begin(now.Add(time.Minute), upstream)
	assert.Assert(t, !required && may)
	assert.Equal(t, len(g.gates), 0)
}

func TestLimitedUpstreamIsAvoidedUntilLimitIsOld(t *testing.T) {
	now := time.Now()
	var g Gates
	g.Apply(now, upstream, Limit{At: now, Rate: 0.5})
	_, penalty := g.Check(now, upstream)
	assert.Equal(t, penalty, limitPenalty)
	_, penalty = g.Check(now.Add(2*limitRecheckAge), upstream)
	assert.Equal(t, penalty, -limitPenalty, "the limit may have ended")
}
