package origin

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sandbarrow.example/sandbarrow"
)

var testOrigin = Origin{Service: "s", Software: "v1"}

func TestRecordIsFoundUntilItExpires(t *testing.T) {
	var table Table
	now := time.Unix(1000, 0)
	table.Add(now, "a", testOrigin, time.Second)
	found, known := table.Find(now.Add(900*time.Millisecond), "a")
	assert.Assert(t, known)
	assert.Equal(t, found, testOrigin)
	_, known = table.Find(now.Add(time.Second), "a")
	assert.Assert(t, !known)
	_, known = table.Find(now, "b")
	assert.Assert(t, !known)
}

func TestResumedStreamExtendsItsRecord(t *testing.T) {
	var table Table
	now := time.Unix(1000, 0)
	table.Add(now, "a", testOrigin, 3*time.Second)
	table.Add(now.Add(time.Second), "a", testOrigin, 4*time.Second)
	table.Add(now.Add(time.Second), "a", testOrigin, time.Second)
	_, known := table.Find(now.Add(4500*time.Millisecond), "a")
	assert.Assert(t, known)
}

func TestStreamsWithOneIDThatBeganDifferentlyMayNotGoOn(t *testing.T) {
	var table Table
	now := time.Unix(1000, 0)
	table.Add(now, "a", testOrigin, time.Second)
	table.Add(now, "a", Origin{Service: "s", Software: "v2"}, time.Second)
	table.Add(now, "a", testOrigin, time.Second)
	found, known := table.Find(now, "a")
	assert.Assert(t, known && !found.Allows("s", "v1") && !found.Allows("s", "v2"))
}

func TestOtherOriginsOfAServiceCountUntilTheirRecordsExpire(t *testing.T) {
	var table Table
	now := time.Unix(1000, 0)
	assert.Assert(t, !table.AnyOther(now, testOrigin))
	table.Add(now, "a", testOrigin, 9*time.Second)
	table.Add(now, "b", Origin{Service: "another", Software: "v2"}, 9*time.Second)
	assert.Assert(t, !table.AnyOther(now, testOrigin))
	table.Add(now, "c", Origin{Service: "s", Software: "v2"}, 3*time.Second)
	table.Add(now, "c", Origin{Service: "s", Software: "v2"}, 3*time.Second)
	assert.Assert(t, table.AnyOther(now, testOrigin))
	assert.Assert(t, !table.AnyOther(now.Add(4*time.Second), testOrigin))
}

func TestFullTableKeepsFirstRecordOfOtherSoftware(t *testing.T) {
	var table Table
	now := time.Unix(1000, 0)
	for i := range maxOrigins {
		table.Add(now, sandbarrow.RequestID(strconv.Itoa(i)), testOrigin, time.Minute)
	}
	other := Origin{Service: "s", Software: "v2"}
	table.Add(now, "v2", other, 3*time.Second)
	table.Add(now, "further", other, 3*time.Second)
	assert.Equal(t, table.Len(), maxOrigins+1)
	assert.Assert(t, table.AnyOther(now, testOrigin))
	table.Add(now.Add(2*time.Second), "v2", other, 3*time.Second)
	assert.Assert(t, table.AnyOther(now.Add(4*time.Second), testOrigin))
	assert.Assert(t, !table.AnyOther(now.Add(6*time.Second), testOrigin))
}

func TestTableIsBoundedAndForgetsExpiredRecords(t *testing.T) {
	var table Table
	now := time.Unix(1000, 0)
	for i := range 2 * maxOrigins {
		table.Add(now, sandbarrow.RequestID(strconv.Itoa(i)), testOrigin, time.Second)
	}
	assert.Equal(t, table.Len(), maxOrigins)
	long := sandbarrow.RequestID(strings.Repeat("x", maxIDBytes+1))
	table.Add(now.Add(sweepInterval+time.Second), long, testOrigin, time.Second)
	assert.Equal(t, table.Len(), 0)
	table.Add(now.Add(2*time.Second), "new", testOrigin, time.Hour)
	assert.Equal(t, table.Len(), 1)
	_, known := table.Find(now.Add(2*time.Second+MaxLifetime), "new")
	assert.Assert(t, !known)
}
