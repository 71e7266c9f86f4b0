package throttle

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sandbarrow.example/sandbarrow"
)

func TestLimitFromResponse(t *testing.T) {
	now := time.Now()
	sent := now.Add(-time.Second)
	for rate, want := range map[sandbarrow.RequestRate]Rate{1.4: 1.4, 0: 0, 1e9: maxRate} {
		l, known := LimitFromResponse(now, sent, http.StatusServiceUnavailable, &rate)
		assert.Assert(t, known)
		assert.Equal(t, l, Limit{At: now, Rate: want})
		_, known = LimitFromResponse(now, sent, http.StatusMisdirectedRequest, &rate)
		assert.Assert(t, !known, "response of another instance")
	}
	l, known := LimitFromResponse(now, sent, http.StatusOK, nil)
	assert.Assert(t, known)
	assert.Equal(t, l, Limit{At: sent, Ended: true})
	_, known = LimitFromResponse(now, sent, http.StatusBadGateway, nil)
	assert.Assert(t, !known, "a failure without a limit")
}

func TestNewestLimitWins(t *testing.T) {
	now := time.Now()
	at := func(ms int) time.Time { return now.Add(time.Duration(ms) * time.Millisecond) }
	var table Table
	assert.Assert(t, !table.Apply(at(0), "a", Limit{At: at(0), Ended: true}), "the end of an unknown limit")
	assert.Assert(t, table.Empty())
	assert.Assert(t, table.Apply(at(10), "a", Limit{At: at(10), Rate: 2}))
	assert.Assert(t, !table.Apply(at(20), "a", Limit{At: at(20), Rate: 2}), "an unchanged limit")
	assert.Assert(t, !table.Apply(at(30), "a", Limit{At: at(5), Ended: true}), "the request was sent before the limit began")
	limit, limited := table.InForce(at(30), "a")
	assert.Assert(t, limited && limit.Rate == 2)
	assert.Assert(t, table.Apply(at(40), "a", Limit{At: at(35), Ended: true}))
	_, limited = table.InForce(at(40), "a")
	assert.Assert(t, !limited)
	assert.Assert(t, !table.Apply(at(41), "a", Limit{At: at(30), Rate: 2}), "an older limit arrives late")
	assert.Assert(t, table.Apply(at(42), "a", Limit{At: at(41), Rate: 1}))
	_, limited = table.InForce(at(42), "a@7")
	assert.Assert(t, !limited, "another instance has no limit")
}

// Guards against unbounded growth: stored limits are bounded, and unused ones expire.
func TestLimitsExpireAndAreBounded(t *testing.T) {
	now := time.Now()
	var table Table
	for i := range maxLimits + 10 {
		table.Apply(now.Add(time.Duration(i)*time.Millisecond), sandbarrow.InstanceID(fmt.Sprint(i)), Limit{At: now, Rate: 1})
	}
	assert.Equal(t, len(table.limits), maxLimits)
	_, limited := table.InForce(now, "0")
	assert.Assert(t, !limited, "the oldest limit is evicted")
	later := now.Add(limitRetention - time.Second)
	_, limited = table.InForce(later, "20")
	assert.Assert(t, limited)
	table.Apply(now.Add(limitRetention+time.Minute), "new", Limit{At: later, Rate: 1})
	assert.Equal(t, len(table.limits), 2, "one limit in use and a new one")
}

func TestRecordOfColdStartEndsNoLimit(t *testing.T) {
	now := time.Now()
	var gateway, coordinator Table
	gateway.SetCold(now, upstream, Cold{Rate: 19, Until: now.Add(3 * time.Second)})
	coordinator.Apply(now.Add(-time.Minute), upstream, Limit{At: now.Add(-time.Minute), Rate: 2})
	r, _ := gateway.Record(now, upstream)
	assert.Assert(t, r.Valid())
	assert.Assert(t, !coordinator.Merge(now, r), "the limit that the upstream names has not changed")
	limit, limited := coordinator.InForce(now, upstream)
	assert.Assert(t, limited && limit.Rate == 2, "%v", limit)
}

func TestLaterEndOfColdStartIsKept(t *testing.T) {
	now := time.Now()
	var coordinator Table
	cold := func(ms int64) Record {
		return Record{AgeMS: limitRetention.Milliseconds(), ColdMS: ms, ColdRate: 19, Ended: true, Instance: upstream}
	}
	coordinator.Merge(now, cold(3000))
	coordinator.Merge(now, cold(1000))
	_, limited := coordinator.InForce(now.Add(2*time.Second), upstream)
	assert.Assert(t, limited)
	_, limited = coordinator.InForce(now.Add(3*time.Second), upstream)
	assert.Assert(t, !limited)
}
