package enginelink

import (
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/readspeed"
)

func TestStatusSurvivesTheWire(t *testing.T) {
	held := []SlotStatus{
		{Adapter: "a", Model: "base", State: SlotLoaded, Version: 3},
		{Adapter: "b", Model: "other", State: SlotLoading, Version: 1},
	}
	first := Status{Free: 1, Instance: "i", Models: []sandbarrow.BaseModelID{"base"}, Running: 2, Slots: held, Speed: readspeed.Speed{Base: time.Millisecond, PerToken: time.Microsecond}}
	second := first
	second.Running, second.WaitingTokens, second.WaitingByPriority = 3, 500, &Waiting{100, 400}
	var last Status
	for name, tc := range map[string]struct {
		sent  Status
		brief bool
	}{"full": {first, false}, "brief": {second, true}} {
		last = first
		wire := tc.sent
		if tc.brief {
			wire = wire.Brief()
		} else {
			wire.Slots = append([]SlotStatus(nil), held...)
			wire.Compact()
		}
		text, err := json.Marshal(wire)
		assert.NilError(t, err)
		var got Status
		assert.NilError(t, json.Unmarshal(text, &got))
		got.Expand(&last)
		assert.DeepEqual(t, got, tc.sent)
		assert.Equal(t, len(text) < 100, tc.brief, "%s: %s", name, text)
	}
}
