package gateway

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/enginelink"
)

func TestRefusalsAtOnceAreNoWaits(t *testing.T) {
	s := engineSearch{excluded: map[sandbarrow.InstanceID]bool{}}
	assert.Assert(t, s.first())
	ask := func(refused enginelink.RefuseReason) {
		s.asked(sandbarrow.InstanceID(fmt.Sprint(len(s.excluded))), refused)
	}
	for range maxRefusals - 1 {
		ask(enginelink.RefuseUnreachable)
	}
	assert.Assert(t, s.mayAsk() && !s.first())
	assert.Equal(t, s.acquires, 0)
	for range maxAcquires {
		assert.Assert(t, s.mayAsk())
		ask(enginelink.RefuseSlots)
	}
	assert.Assert(t, !s.mayAsk())

	s = engineSearch{excluded: map[sandbarrow.InstanceID]bool{}}
	for range maxRefusals {
		assert.Assert(t, s.mayAsk())
		ask(enginelink.RefuseDraining)
	}
	assert.Assert(t, !s.mayAsk())
}

func TestOldGrantIsAskedAnew(t *testing.T) {
	g := chooserOf(t, statusOf(oldWeights))
	named := func(v string, at sandbarrow.StoreRevision) {
		g.estate.Update([]sandbarrow.KeyItem{{Key: "op/table", Revision: 1, Value: []byte("{}")}, {Key: "op/version/a", Revision: at, Value: []byte(v)}}, at)
	}
	named("1", 2)
	c := callFor(g, "a", 100)
	c.ends, c.callerEnds = c.began.Add(time.Second), c.began.Add(time.Second)
	c.version = c.leastVersion()
	e := &candidate{instance: g.directory.View().Service(testEngines)[0]}
	s := engineSearch{excluded: map[sandbarrow.InstanceID]bool{}}

	named("2", 3)
	_, pinned := c.pinAt(t.Context(), &s, e)
	assert.Assert(t, !pinned, "version 2 has been named")
	assert.Assert(t, s.first() && s.acquires == 0, "the engine may be asked again")

	c.version = c.leastVersion()
	version, pinned := c.pinAt(t.Context(), &s, e)
	assert.Assert(t, pinned)
	assert.Equal(t, version, sandbarrow.AdapterVersion(2))
}
