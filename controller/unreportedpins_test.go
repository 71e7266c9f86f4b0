package controller

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestUnloadsWaitForUnreportedPins(t *testing.T) {
	start := time.Unix(0, 0)
	at := func(d time.Duration) time.Time { return start.Add(d) }
	var u unreportedPins
	assert.Check(t, !u.mayExist(start), "no gateway has linked yet")

	u.linkOpened(start, 1)
	assert.Check(t, u.mayExist(at(relinkTime-time.Millisecond)))
	u.linkOpened(at(relinkTime-pinReportTime), 2)
	u.linkOpened(at(relinkTime-pinReportTime/2), 3)
	assert.Check(t, !u.mayExist(at(relinkTime)), "another link does not extend the wait")

	var restarted unreportedPins
	restarted.linkOpened(start, 1)
	restarted.linkOpened(at(pinReportTime), 2)
	assert.Check(t, restarted.mayExist(at(relinkTime-time.Millisecond)), "the number of gateways is not known yet")

	lost := 10 * relinkTime
	u.linkOpened(at(lost), 1)
	u.linkOpened(at(lost+pinReportTime), 2)
	assert.Check(t, u.mayExist(at(lost+3*pinReportTime)), "one of three gateways has not reported")
	u.linkOpened(at(lost+3*pinReportTime), 3)
	assert.Check(t, u.mayExist(at(lost+3*pinReportTime)), "the report of the last gateway is still in transit")
	assert.Check(t, !u.mayExist(at(lost+4*pinReportTime)), "all gateways have reported")
}
