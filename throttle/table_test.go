package throttle

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sandbarrow.example/sandbarrow"
)

func TestLimitOf(t *testing.T) {
	now := time.Now()
	sent := now.Add(-time.Second)
	for rate, want := range map[sandbarrow.RequestRate]Rate{1.4: 1.4, 0: 0, 1e9: mostRate} {
		l, says := LimitFromResponse(now, sent, http.StatusServiceUnavailable, &rate)
		assert.Assert(t, says)
		assert.Equal(t, l, Limit{At: now, Rate: want})
		_, says = LimitFromResponse(now, sent, http.StatusMisdirectedRequest, &rate)
		assert.Assert(t, !says, "another instance's")
	}
	l, says := LimitFromResponse(now, sent, http.StatusOK, nil)
	assert.Assert(t, says)
	assert.Equal(t, l, Limit{At: sent, Ended: true})
	_, says = LimitFromResponse(now, sent, http.StatusBadGateway, nil)
	assert.Assert(t, !says, "a failure that names none")
}

func TestNewestWordCounts(t *testing.T) {
	now := time.Now()
	at := func(ms int) time.Time { return now.Add(time.Duration(ms) * time.Millisecond) }
	var table Table
	assert.Assert(t, !table.Apply(at(0), "a", Limit{At: at(0), Ended: true}), "no limit ends")
	assert.Assert(t, table.Empty())
	assert.Assert(t, table.Apply(at(10), "a", Limit{At: at(10), Rate: 2}))
	assert.Assert(t, !table.Apply(at(20), "a", Limit{At: at(20), Rate: 2}), "it says the same")
	assert.Assert(t, !table.Apply(at(30), "a", Limit{At: at(5), Ended: true}), "sent before the limit began")
	limit, limited := table.InForce(at(30), "a")
	assert.Assert(t, limited && limit.Rate == 2)
	assert.Assert(t, table.Apply(at(40), "a", Limit{At: at(35), Ended: true}))
	_, limited = table.InForce(at(40), "a")
	assert.Assert(t, !limited)
	assert.Assert(t, !table.Apply(at(41), "a", Limit{At: at(30), Rate: 2}), "an older word comes late")
	assert.Assert(t, table.Apply(at(42), "a", Limit{At: at(41), Rate: 1}))
	_, limited = table.InForce(at(42), "a@7")
	assert.Assert(t, !limited, "another start has named nothing")
}

// What is kept is bounded, and forgotten once nobody names it or looks at it.
func TestLimitsAreForgotten(t *testing.T) {
	now := time.Now()
	var table Table
	for i := range mostLimits + 10 {
		table.Apply(now.Add(time.Duration(i)*time.Millisecond), sandbarrow.InstanceID(fmt.Sprint(i)), Limit{At: now, Rate: 1})
	}
	assert.Equal(t, len(table.limits), mostLimits)
	_, limited := table.InForce(now, "0")
	assert.Assert(t, !limited, "the oldest gives way")
	later := now.Add(keepFor - time.Second)
	_, limited = table.InForce(later, "20")
	assert.Assert(t, limited)
	table.Apply(now.Add(keepFor+time.Minute), "new", Limit{At: later, Rate: 1})
	assert.Equal(t, len(table.limits), 2, "one was looked at, one is new")
}
