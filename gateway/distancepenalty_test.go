package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/distance"
)

func TestDistancePenalty(t *testing.T) {
	p := distancePenalties{
		domain:     "north-a",
		regions:    map[sandbarrow.FailureDomain]sandbarrow.Region{"north-a": "north", "north-b": "north", "south-a": "south"},
		roundTrips: distance.RoundTrips{"north-a": 9 * time.Millisecond, "north-b": 2 * time.Millisecond, "south-a": 61 * time.Millisecond},
	}
	for domain, want := range map[sandbarrow.FailureDomain]time.Duration{
		"north-a": 0, "north-b": 12 * time.Millisecond, "south-a": 156 * time.Millisecond,
	} {
		assert.Equal(t, p.to(domain), want, string(domain))
	}
	p.regions = nil
	assert.Equal(t, p.to("south-a"), 132*time.Millisecond, "without regions")
}
