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

func TestPlanCutsTTLAndRateForTightBound(t *testing.T) {
	usual := PlanFor(testBound, &access.Limit{Burst: 100_000, PerSecond: 100_000})
	assert.Equal(t, usual.Rate*LimitShares, 100_000.0)
	assert.Equal(t, usual.TTL, usualTTL)
	assert.Assert(t, usual.Depth*LimitShares > 40_000, "%v", usual.Depth)
	tight := PlanFor(Bound{Window: 8 * time.Second}, &access.Limit{PerSecond: 1000})
	assert.Assert(t, tight.Rate*LimitShares < 1000 && tight.Rate*LimitShares > 800, "%v", tight.Rate)
	assert.Equal(t, tight.TTL, minTTL)
}

// For any bound and limit, the plan grants no more than is allowed.
func TestPlansKeepTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := Bound{
			Overage: rapid.Float64Range(0, 1).Draw(t, "overage"), Slack: rapid.Float64Range(0, 1e5).Draw(t, "slack"),
			Window: time.Duration(rapid.IntRange(500, 60_000).Draw(t, "window")) * time.Millisecond,
		}
		l := &access.Limit{Burst: rapid.Float64Range(0, 1e6).Draw(t, "burst"), PerSecond: rapid.Float64Range(0.1, 1e6).Draw(t, "rate")}
		p := PlanFor(b, l)
		used := p.Rate*(b.Window+p.TTL).Seconds() + p.Depth
		assert.Assert(t, used*LimitShares <= b.allowed(l)*(grantedShare+1e-9), "%v of %v", used*LimitShares, b.allowed(l))
		assert.Assert(t, p.Rate > 0 && p.Depth > 0 && p.TTL > 0)
	})
}

// A workspace at its limit gets both its large and its small requests served.
func TestLargeRequestsAreServedAtTheLimit(t *testing.T) {
	l := &access.Limit{Burst: 20_000, PerSecond: 20_000}
	g := NewGranter(testBound, at(0))
	granted := map[int64]int{}
	for i := range 1000 {
		for _, units := range []int64{100, 4000} {
			if g.Acquire(at(i*20), "red", l, units).Granted {
				granted[units]++
			}
		}
	}
	assert.Assert(t, granted[100] > 20, "%v", granted)
	assert.Assert(t, granted[4000]*2 > granted[100], "%v", granted)
}

// A workspace below its limit is always granted units, whatever another one requests.
func TestWorkspacesAreIsolated(t *testing.T) {
	l := &access.Limit{Burst: 20_000, PerSecond: 20_000}
	g := NewGranter(testBound, at(-3000))
	for i := range 2000 {
		now := at(i * 10)
		g.Acquire(now, "hot", l, 5000)
		if i%20 == 0 {
			assert.Assert(t, g.Acquire(now, "calm", l, 2000/LimitShares).Granted, "at %d", i)
		}
	}
}

// A refused request is granted after RetryAfter, and not earlier.
func TestRetryAfterIsLongEnough(t *testing.T) {
	l := &access.Limit{Burst: 20_000, PerSecond: 20_000}
	g := NewGranter(testBound, at(-3000))
	var refused Grant
	for refused = g.Acquire(at(0), "red", l, 2500); refused.Granted; {
		refused = g.Acquire(at(0), "red", l, 2500)
	}
	assert.Assert(t, refused.RetryAfter > 0)
	retry := at(0).Add(refused.RetryAfter)
	assert.Assert(t, !g.Acquire(retry.Add(-2*time.Millisecond), "red", l, 2500).Granted)
	assert.Assert(t, g.Acquire(retry.Add(time.Millisecond), "red", l, 2500).Granted)
}

// A lowered limit applies at once, also after grants under the higher limit.
func TestLoweredLimitAppliesAtOnce(t *testing.T) {
	high, low := &access.Limit{Burst: 100_000, PerSecond: 100_000}, &access.Limit{Burst: 5000, PerSecond: 5000}
	g := NewGranter(testBound, at(-3000))
	assert.Assert(t, g.Acquire(at(0), "red", high, 10_000).Granted)
	used := int64(0)
	for i := range 800 {
		if g.Acquire(at(10*i+1), "red", low, 1000).Granted {
			used += 1000
		}
	}
	assert.Assert(t, float64(used)*LimitShares <= testBound.allowed(low), "%d", used)
	assert.Assert(t, used*LimitShares > 40_000, "%d", used)
}
