package controller

import (
	"testing"

	"gotest.tools/v3/assert"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/enginelink"
)

func TestEvacuatedEngineRefusesRequests(t *testing.T) {
	f := newFakeEngine(testSlots)
	c := newTestController(t, f)
	c.domain = "a"
	step(t, c)
	waiting, _ := requestPin(c, "waiting", 0)
	evacuated := sandbarrow.KeyItem{Key: "evacuate/a", Revision: 50, Value: []byte("{}")}
	c.estate.Update([]sandbarrow.KeyItem{evacuated}, 50)
	step(t, c)
	g := <-waiting.grant
	assert.Equal(t, g.Refused, enginelink.RefuseEvacuated)
	c.mu.Lock()
	refusal, refused := c.refuseAtOnce(&enginelink.Acquire{Model: testModel})
	c.mu.Unlock()
	assert.Assert(t, refused && refusal.Refused == enginelink.RefuseEvacuated)
	c.estate.Update([]sandbarrow.KeyItem{{Deleted: true, Key: "evacuate/a", Revision: 51}}, 51)
	c.mu.Lock()
	_, refused = c.refuseAtOnce(&enginelink.Acquire{Model: testModel})
	c.mu.Unlock()
	assert.Assert(t, !refused, "the evacuation has ended")
}
