package gateway

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/enginelink"
)

func TestImmediateRefusalsAreNotCountedAsWaits(t *testing.T) {
	s := engineSearch{excluded: map[sandbarrow.InstanceID]bool{}}
	assert.Assert(t, s.isFirst())
	acquire := func(refused enginelink.RefuseReason) {
		s.recordAcquire(sandbarrow.InstanceID(fmt.Sprint(len(s.excluded))), refused)
	}
	for range maxRefusals - 1 {
		acquire(enginelink.RefuseUnreachable)
	}
	assert.Assert(t, s.mayContinue() && !s.isFirst())
	assert.Equal(t, s.acquires, 0)
	for range maxAcquires {
		assert.Assert(t, s.mayContinue())
		acquire(enginelink.RefuseNoSlot)
	}
	assert.Assert(t, !s.mayContinue())

	s = engineSearch{excluded: map[sandbarrow.InstanceID]bool{}}
	for range maxRefusals {
		assert.Assert(t, s.mayContinue())
		acquire(enginelink.RefuseDraining)
	}
	assert.Assert(t, !s.mayContinue())
}

func TestGrantOfOldVersionIsAcquiredAgain(t *testing.T) {
	g := newChoosingGateway(t, statusWithWeights(oldWeights))
	nameVersion := func(v string, at sandbarrow.StoreRevision) {
		g.estate.Update([]sandbarrow.KeyItem{{Key: "op/table", Revision: 1, Value: []byte("{}")}, {Key: "op/version/a", Revision: at, Value: []byte(v)}}, at)
	}
	nameVersion("1", 2)
	c := callFor(g, "a", 100)
	c.ends, c.callerEnds = c.began.Add(time.Second), c.began.Add(time.Second)
	c.version = c.leastVersion()
	e := &candidate{instance: g.directory.View().Service(testEngines)[0]}
	s := engineSearch{excluded: map[sandbarrow.InstanceID]bool{}}

	nameVersion("2", 3)
	_, pinned := c.pinAt(t.Context(), &s, e)
	assert.Assert(t, !pinned, "the operators have named version 2")
	assert.Assert(t, s.isFirst() && s.acquires == 0, "the engine may be tried again")

	c.version = c.leastVersion()
	version, pinned := c.pinAt(t.Context(), &s, e)
	assert.Assert(t, pinned)
	assert.Equal(t, version, sandbarrow.AdapterVersion(2))
}
