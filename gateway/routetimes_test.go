package gateway

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestRouteTimesExceedMostRequests(t *testing.T) {
	var r routeTimes
	_, known := r.usual("r")
	assert.Assert(t, !known)
	random := rand.New(rand.NewPCG(1, 1))
	longer := 0
	const requests = 10000
	for range requests {
		took := time.Duration(random.ExpFloat64() * float64(100*time.Millisecond))
		if usual, known := r.usual("r"); known && took > usual.within(safeDeviations) {
			longer++
		}
		r.observe("r", took)
	}
	assert.Check(t, longer < requests/8, "%d of %d took longer than expected", longer, requests)
	usual, _ := r.usual("r")
	most := usual.within(safeDeviations)
	assert.Check(t, most < time.Second, "%s", most)
}

func TestRouteTimesFollowSlowUpstreams(t *testing.T) {
	var r routeTimes
	for range 100 {
		r.observe("r", 30*time.Millisecond)
	}
	for range 3 {
		r.observe("r", time.Second)
	}
	usual, _ := r.usual("r")
	most := usual.within(safeDeviations)
	assert.Check(t, most > 500*time.Millisecond, "%s", most)
}

func TestRouteTimesStayBounded(t *testing.T) {
	var r routeTimes
	for i := range 3 * maxRouteTimes {
		r.observe(fmt.Sprint(i), time.Second)
	}
	assert.Check(t, len(r.byRoute) <= maxRouteTimes)
}
