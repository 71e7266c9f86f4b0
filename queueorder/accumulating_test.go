package queueorder

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"sandbarrow.example/sandbarrow"
)

func TestAccumulating(t *testing.T) {
	now := time.Unix(1000, 0)
	waiting := func(ms, priority int) sandbarrow.Waiting {
		return sandbarrow.Waiting{Arrived: now.Add(-time.Duration(ms) * time.Millisecond), Priority: priority}
	}
	for name, tc := range map[string]struct{ first, second sandbarrow.Waiting }{
		"as they arrive":                           {waiting(20, 1), waiting(10, 1)},
		"the more urgent one":                      {waiting(20, 0), waiting(20, 1)},
		"the more urgent one, of new ones":         {waiting(0, 0), waiting(0, 2)},
		"the more urgent one, which arrived later": {waiting(60, 0), waiting(100, 1)},
		"a less urgent one, after twice the wait":  {waiting(110, 1), waiting(50, 0)},
		"the least urgent one, after three times":  {waiting(160, 2), waiting(50, 0)},
	} {
		assert.Assert(t, Accumulating{}.Less(now, tc.first, tc.second), name)
		assert.Assert(t, !Accumulating{}.Less(now, tc.second, tc.first), name)
	}
}

// overload serves requests of the given priorities at twice the capacity of a server. It returns how many
// of each priority were served, those that still wait, and the time at the end.
func overload(priorities []int) (served map[int]int, queue []sandbarrow.Waiting, now time.Time) {
	now, served = time.Unix(1000, 0), map[int]int{}
	for step := 0; step+1 < len(priorities); step += 2 {
		for _, p := range priorities[step : step+2] {
			queue = append(queue, sandbarrow.Waiting{Arrived: now, Priority: p})
		}
		now = now.Add(10 * time.Millisecond)
		first := slices.MinFunc(queue, func(a, b sandbarrow.Waiting) int {
			if (Accumulating{}).Less(now, a, b) {
				return -1
			}
			return 1
		})
		served[first.Priority]++
		i := slices.Index(queue, first)
		queue = slices.Delete(queue, i, i+1)
	}
	return served, queue, now
}

// At twice the capacity of a server the urgent requests wait least, and each of the others is served.
func TestAccumulatingStarvesNobody(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var priorities []int
		for range 100 { // any order within each six, as many of each priority
			priorities = append(priorities, rapid.Permutation([]int{0, 0, 1, 1, 2, 2}).Draw(t, "priorities")...)
		}
		served, _, _ := overload(priorities)
		assert.Assert(t, served[0] >= served[1] && served[1] >= served[2] && served[2] > 0, "%v", served)
	})
}

func TestAccumulatingBoundsTheWaitOfUrgentRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		_, queue, now := overload(rapid.SliceOfN(rapid.IntRange(0, 2), 600, 600).Draw(t, "priorities"))
		for _, w := range queue {
			assert.Assert(t, w.Priority > 0 || now.Sub(w.Arrived) < now.Sub(queue[0].Arrived)+time.Second)
		}
	})
}
