package storeera

import (
	"testing"

	"gotest.tools/v3/assert"

	"sandbarrow.example/sandbarrow"
)

func TestTrackerKeepsLatestEra(t *testing.T) {
	tracker := NewTracker()
	since, first := tracker.Since()
	assert.Assert(t, since.IsZero() && first)
	for _, c := range []struct {
		text          string
		era, current  sandbarrow.StoreEra
		first, failed bool
	}{
		{text: "4", era: 4, current: 4, first: true},
		{text: "", era: 4, current: 4, first: true},
		{text: "x", current: 4, first: true, failed: true},
		{text: "5", era: 5, current: 5},
		{text: "4", era: 4, current: 5},
	} {
		era, err := tracker.Observe(c.text)
		assert.Equal(t, err != nil, c.failed, "%q", c.text)
		assert.Equal(t, era, c.era, "%q", c.text)
		assert.Equal(t, tracker.Current(), c.current, "%q", c.text)
		_, first := tracker.Since()
		assert.Equal(t, first, c.first, "%q", c.text)
	}
}

func TestWithinEraCancelsOnLaterEra(t *testing.T) {
	tracker := NewTracker()
	_, err := tracker.Observe("1")
	assert.NilError(t, err)
	ctx, cancel := tracker.WithinEra(t.Context(), 1)
	defer cancel()
	assert.NilError(t, ctx.Err())
	_, err = tracker.Observe("2")
	assert.NilError(t, err)
	<-ctx.Done()
	assert.NilError(t, t.Context().Err())
	earlier, cancelEarlier := tracker.WithinEra(t.Context(), 1)
	defer cancelEarlier()
	assert.Assert(t, earlier.Err() != nil)
}
