package controller

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestUnreportedPins(t *testing.T) {
	start := time.Unix(0, 0)
	at := func(d time.Duration) time.Time { return start.Add(d) }
	var u unreportedPins
	assert.Check(t, !u.possible(start), "no gateway has been linked")

	u.linked(start, 1)
	assert.Check(t, u.possible(at(relinkTime-time.Millisecond)))
	u.linked(at(relinkTime-pinReportTime), 2)
	u.linked(at(relinkTime-pinReportTime/2), 3)
	assert.Check(t, !u.possible(at(relinkTime)), "a further link does not prolong the wait")

	var restarted unreportedPins
	restarted.linked(start, 1)
	restarted.linked(at(pinReportTime), 2)
	assert.Check(t, restarted.possible(at(relinkTime-time.Millisecond)), "how many gateways there are is not known yet")

	lost := 10 * relinkTime
	u.linked(at(lost), 1)
	u.linked(at(lost+pinReportTime), 2)
	assert.Check(t, u.possible(at(lost+3*pinReportTime)), "one of three gateways has not reported")
	u.linked(at(lost+3*pinReportTime), 3)
	assert.Check(t, u.possible(at(lost+3*pinReportTime)), "the report of the last is on its way")
	assert.Check(t, !u.possible(at(lost+4*pinReportTime)), "all have reported")
}
