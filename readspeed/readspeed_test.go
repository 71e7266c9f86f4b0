package readspeed

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// within reports whether a is b, give or take a share.
func within(a, b time.Duration, share float64) bool {
	return float64(a) >= float64(b)*(1-share) && float64(a) <= float64(b)*(1+share)
}

func TestKnowsNothing(t *testing.T) {
	var e Estimator
	assert.Equal(t, e.Speed(), Prior)
	e.Observe(0, time.Second)
	e.Observe(1000, 0)
	assert.Equal(t, e.Speed(), Prior, "neither shows anything")
}

func TestAdopt(t *testing.T) {
	told := Speed{Base: 10 * time.Millisecond, PerToken: 20 * time.Microsecond}
	var e Estimator
	e.Adopt(told)
	assert.Equal(t, e.Speed(), told)
	e.Adopt(Speed{})
	assert.Equal(t, e.Speed(), told, "an empty estimate tells nothing")
	e.Observe(1000, time.Second)
	own := e.Speed()
	e.Adopt(told)
	assert.Equal(t, e.Speed(), own, "what was observed here goes before")
}

func TestEstimateConvergesForAnyEngine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		perToken := time.Duration(rapid.IntRange(5_000, 300_000).Draw(t, "ns per token"))
		base := time.Duration(rapid.IntRange(5, 100).Draw(t, "base")) * time.Millisecond
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		var e Estimator
		var short, long time.Duration
		for i := range 400 {
			tokens := 300 + random.IntN(12_000)
			took := base + time.Duration(tokens)*perToken
			took = time.Duration(float64(took) * (0.8 + 0.4*random.Float64()))
			if random.IntN(10) == 0 {
				took += 3 * time.Second
			}
			e.Observe(tokens, took)
			if i >= 300 {
				short += e.Speed().TimeToFirstEvent(3000) / 100
				long += e.Speed().TimeToFirstEvent(9000) / 100
			}
		}
		want := Speed{Base: base, PerToken: perToken}
		assert.Check(t, within(short, want.TimeToFirstEvent(3000), 0.35), "3000 tokens: %v, want %v", short, want.TimeToFirstEvent(3000))
		assert.Check(t, within(long, want.TimeToFirstEvent(9000), 0.35), "9000 tokens: %v, want %v", long, want.TimeToFirstEvent(9000))
	})
}

// One answer, however wrong, moves the estimate by less than a fifth.
func TestOneAnswerMovesLittle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var e Estimator
		e.Adopt(Speed{Base: 20 * time.Millisecond, PerToken: 26 * time.Microsecond})
		before := e.Speed()
		tokens := rapid.IntRange(1, 200_000).Draw(t, "tokens")
		e.Observe(tokens, time.Duration(rapid.Int64Range(1, int64(time.Hour)).Draw(t, "took")))
		for _, n := range []int{500, 5000, 50_000} {
			assert.Check(t, within(e.Speed().TimeToFirstEvent(n), before.TimeToFirstEvent(n), 0.2), "%v to %v", before, e.Speed())
		}
	})
}

func TestFollowsASlowEngine(t *testing.T) {
	var e Estimator
	normal := Speed{Base: 15 * time.Millisecond, PerToken: 26 * time.Microsecond}
	slow := Speed{Base: 75 * time.Millisecond, PerToken: 130 * time.Microsecond}
	answer := func(s Speed, times int) {
		for i := range times {
			tokens := []int{800, 9000, 3000}[i%3]
			e.Observe(tokens, s.TimeToFirstEvent(tokens))
		}
	}
	answer(normal, 60)
	assert.Check(t, within(e.Speed().TimeToFirstEvent(9000), normal.TimeToFirstEvent(9000), 0.1), "%v", e.Speed())
	answer(slow, 24)
	assert.Check(t, within(e.Speed().TimeToFirstEvent(9000), slow.TimeToFirstEvent(9000), 0.3), "%v", e.Speed())
	answer(normal, 24)
	assert.Check(t, within(e.Speed().TimeToFirstEvent(9000), normal.TimeToFirstEvent(9000), 0.3), "%v", e.Speed())
}
