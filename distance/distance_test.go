package distance

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestShortestRecentConnectionCounts(t *testing.T) {
	table := NewTable()
	assert.Equal(t, table.RoundTrips().To("far"), time.Duration(0))
	for _, ms := range []time.Duration{90, 61, 250, 70} {
		table.Observe("far", ms*time.Millisecond)
		table.Observe("near", time.Millisecond)
	}
	assert.Equal(t, table.RoundTrips().To("far"), 60*time.Millisecond)
	assert.Equal(t, table.RoundTrips().To("near"), time.Duration(0))
	for range samples {
		table.Observe("far", 80*time.Millisecond)
	}
	assert.Equal(t, table.RoundTrips().To("far"), 80*time.Millisecond, "the network has changed")
}
