package quota

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"sandbarrow.example/sandbarrow/access"
)

var testBound = Bound{Overage: 0.1, Slack: 17_000, Window: 8 * time.Second}

func at(ms int) time.Time { return time.Unix(0, 0).Add(time.Duration(ms) * time.Millisecond) }

func TestPlanLeavesTheBoundItsRoom(t *testing.T) {
	usual := PlanFor(testBound, &access.Limit{Burst: 100_000, PerSecond: 100_000})
	assert.Equal(t, usual.Rate*LimitShares, 100_000.0)
	assert.Equal(t, usual.Life, usualLife)
	assert.Assert(t, usual.Depth*LimitShares > 40_000, "%v", usual.Depth)
	tight := PlanFor(Bound{Window: 8 * time.Second}, &access.Limit{PerSecond: 1000})
	assert.Assert(t, tight.Rate*LimitShares < 1000 && tight.Rate*LimitShares > 800, "%v", tight.Rate)
	assert.Equal(t, tight.Life, leastLife)
}

// Whatever the bound and the limit, the plan keeps within what is allowed.
func TestPlansKeepTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := Bound{
			Overage: rapid.Float64Range(0, 1).Draw(t, "overage"), Slack: rapid.Float64Range(0, 1e5).Draw(t, "slack"),
			Window: time.Duration(rapid.IntRange(500, 60_000).Draw(t, "window")) * time.Millisecond,
		}
		l := &access.Limit{Burst: rapid.Float64Range(0, 1e6).Draw(t, "burst"), PerSecond: rapid.Float64Range(0.1, 1e6).Draw(t, "rate")}
		p := PlanFor(b, l)
		used := p.Rate*(b.Window+p.Life).Seconds() + p.Depth
		assert.Assert(t, used*LimitShares <= b.allowed(l)*(keptShare+1e-9), "%v of %v", used*LimitShares, b.allowed(l))
		assert.Assert(t, p.Rate > 0 && p.Depth > 0 && p.Life > 0)
	})
}

// A workspace at its limit has its large requests served as well as its small ones.
func TestLargeRequestsAreServedAtTheLimit(t *testing.T) {
	l := &access.Limit{Burst: 20_000, PerSecond: 20_000}
	g := NewGranter(testBound, at(0))
	granted := map[int64]int{}
	for i := range 1000 {
		for _, units := range []int64{100, 4000} {
			if g.Ask(at(i*20), "red", l, units).Granted {
				granted[units]++
			}
		}
	}
	assert.Assert(t, granted[100] > 20, "%v", granted)
	assert.Assert(t, granted[4000]*2 > granted[100], "%v", granted)
}

// What a workspace asks below its limit is granted, whatever another one asks.
func TestWorkspacesDoNotTouchEachOther(t *testing.T) {
	l := &access.Limit{Burst: 20_000, PerSecond: 20_000}
	g := NewGranter(testBound, at(-3000))
	for i := range 2000 {
		now := at(i * 10)
		g.Ask(now, "hot", l, 5000)
		if i%20 == 0 {
			assert.Assert(t, g.Ask(now, "calm", l, 2000/LimitShares).Granted, "at %d", i)
		}
	}
}

// A refused request is told when it would be granted.
func TestRetryAfter(t *testing.T) {
	l := &access.Limit{Burst: 20_000, PerSecond: 20_000}
	g := NewGranter(testBound, at(-3000))
	var refused Grant
	for refused = g.Ask(at(0), "red", l, 2500); refused.Granted; {
		refused = g.Ask(at(0), "red", l, 2500)
	}
	assert.Assert(t, refused.RetryAfter > 0)
	again := at(0).Add(refused.RetryAfter)
	assert.Assert(t, !g.Ask(again.Add(-2*time.Millisecond), "red", l, 2500).Granted)
	assert.Assert(t, g.Ask(again.Add(time.Millisecond), "red", l, 2500).Granted)
}

// A lower limit holds at once, a higher one from then on.
func TestLimitChanges(t *testing.T) {
	high, low := &access.Limit{Burst: 100_000, PerSecond: 100_000}, &access.Limit{Burst: 5000, PerSecond: 5000}
	g := NewGranter(testBound, at(-3000))
	assert.Assert(t, g.Ask(at(0), "red", high, 10_000).Granted)
	used := int64(0)
	for i := range 800 {
		if g.Ask(at(10*i+1), "red", low, 1000).Granted {
			used += 1000
		}
	}
	assert.Assert(t, float64(used)*LimitShares <= testBound.allowed(low), "%d", used)
	assert.Assert(t, used*LimitShares > 40_000, "%d", used)
}
