package throttle

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestGatesBoundTheQuestions(t *testing.T) {
	now := time.Now()
	var g Gates
	_, need, may := g.Begin(now, upstream)
	assert.Assert(t, !need && may, "it names no limit")
	g.Apply(now, upstream, Limit{At: now, Rate: 0.5})
	record, need, may := g.Begin(now, upstream)
	assert.Assert(t, need && may)
	assert.Equal(t, record, named(0.5))
	_, _, may = g.Begin(now, upstream)
	assert.Assert(t, !may, "another request asks")
	wait, _ := g.Check(now, upstream)
	assert.Equal(t, wait, Rate(0.5).Interval())
	g.End(now, upstream, Grant{Wait: 700 * time.Millisecond}, MaxWait)
	_, _, may = g.Begin(now.Add(400*time.Millisecond), upstream)
	assert.Assert(t, !may, "none can be granted in time")
	wait, _ = g.Check(now.Add(400*time.Millisecond), upstream)
	assert.Equal(t, wait, 300*time.Millisecond)
	_, _, may = g.Begin(now.Add(510*time.Millisecond), upstream)
	assert.Assert(t, may, "its turn comes within the time that a request waits")
	g.End(now, upstream, Grant{Wait: time.Hour}, 0)
	_, _, may = g.Begin(now.Add(mostAskPause), upstream)
	assert.Assert(t, may, "the limit may have ended")
	g.End(now, upstream, Grant{Granted: true}, 0)
	g.Apply(now.Add(time.Minute), upstream, Limit{At: now.Add(time.Minute), Ended: true})
	_, need, may = g.Begin(now.Add(time.Minute), upstream)
	assert.Assert(t, !need && may)
	assert.Equal(t, len(g.gates), 0)
}

func TestUpstreamInNeedIsSparedButAsked(t *testing.T) {
	now := time.Now()
	var g Gates
	g.Apply(now, upstream, Limit{At: now, Rate: 0.5})
	_, price := g.Check(now, upstream)
	assert.Equal(t, price, limitedPrice)
	_, price = g.Check(now.Add(2*limitOld), upstream)
	assert.Equal(t, price, -limitedPrice, "its limit may have ended")
}
