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
	assert.Equal(t, g.Check(now, upstream).Wait, Rate(0.5).Interval())
	g.End(now, upstream, Grant{Wait: 700 * time.Millisecond}, MaxWait)
	_, _, may = g.Begin(now.Add(400*time.Millisecond), upstream)
	assert.Assert(t, !may, "no send can be granted in time")
	assert.Equal(t, g.Check(now.Add(400*time.Millisecond), upstream).Wait, 300*time.Millisecond)
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
	assert.Equal(t, g.Check(now, upstream).Penalty, limitPenalty)
	assert.Equal(t, g.Check(now.Add(2*limitRecheckAge), upstream).Penalty, -limitPenalty, "the limit may have ended")
}

func TestColdUpstreamIsNotAvoided(t *testing.T) {
	now := time.Now()
	var g Gates
	cold := Cold{Rate: 19, Until: now.Add(3 * time.Second)}
	g.SetCold(now, upstream, cold)
	assert.Equal(t, g.Check(now, upstream), GateCheck{Limited: true})
	record, required, may := g.Begin(now, upstream)
	assert.Assert(t, required && may)
	assert.Assert(t, record.ColdMS == 3000 && record.ColdRate == 19 && record.Ended)
	assert.Equal(t, g.Check(now, upstream), GateCheck{Limited: true, Wait: Rate(19).Interval()})
	g.Apply(now, upstream, Limit{At: now, Rate: 0.5})
	assert.Equal(t, g.Check(now, upstream).Penalty, limitPenalty, "it names a limit too")
	g.Apply(now.Add(time.Second), upstream, Limit{At: now.Add(time.Second), Ended: true})
	assert.Assert(t, g.Check(now.Add(time.Second), upstream).Limited, "a response without a limit does not end the cold start")
	g.SetCold(now, upstream, Cold{})
	assert.Equal(t, g.Check(now, upstream), GateCheck{}, "the upstream is warm before its time")
	g.SetCold(now, upstream, cold)
	assert.Equal(t, g.Check(cold.Until, upstream), GateCheck{})
}
