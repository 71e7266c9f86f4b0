package gateway

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/route"
)

func TestAllowsRegion(t *testing.T) {
	north, both := []sandbarrow.Region{"north"}, []sandbarrow.Region{"north", "south"}
	for _, c := range []struct {
		region           sandbarrow.Region
		route, workspace []sandbarrow.Region
		want             bool
	}{
		{"south", nil, nil, true}, {"", nil, nil, true},
		{"north", north, nil, true}, {"south", north, nil, false}, {"", north, nil, false},
		{"north", nil, north, true}, {"south", nil, north, false}, {"", nil, north, false},
		{"north", both, north, true}, {"south", both, north, false}, {"", []sandbarrow.Region{""}, nil, false},
	} {
		assert.Equal(t, allowsRegion(c.region, c.route, c.workspace), c.want, "%+v", c)
	}
}

func TestRestrictedRouteIsServedInItsRegionsOnly(t *testing.T) {
	f := newFleetWith(t, 2, 2, func(c *Config) {
		c.Domain, c.Regions = "north-a", map[sandbarrow.FailureDomain]sandbarrow.Region{"north-a": "north", "south-a": "south"}
	})
	plain, stream := plainRoute(route.KindSafe), streamRoute(true)
	plain.Regions, stream.Regions = []sandbarrow.Region{"south"}, []sandbarrow.Region{"south"}
	f.configure(t, plain, stream)
	f.place(t, "north-a", "south-a", "north-a", "south-a")
	for range 10 {
		f.sendBoth(t)
	}
	assert.Equal(t, len(f.runners[0].runs())+len(f.runners[2].runs()), 0)
	assert.Equal(t, len(f.runners[1].runs())+len(f.runners[3].runs()), 20)
	stream.Regions = []sandbarrow.Region{"east"}
	f.configure(t, plain, stream)
	got := f.send(t.Context(), http.MethodPost, "/s/x", map[string]string{testNames.Model: string(testModel) + "/a1"})
	assert.Equal(t, got.status, http.StatusServiceUnavailable, "no upstream in its regions")
}

func TestNearRegionIsPreferred(t *testing.T) {
	f := newFleetWith(t, 2, 2, func(c *Config) {
		c.Domain, c.Regions = "north-b", map[sandbarrow.FailureDomain]sandbarrow.Region{"north-a": "north", "north-b": "north", "south-a": "south"}
	})
	f.configure(t, plainRoute(route.KindSafe), streamRoute(true))
	f.place(t, "south-a", "north-a", "south-a", "north-a")
	for range 10 {
		f.sendBoth(t)
	}
	assert.Equal(t, len(f.runners[1].runs())+len(f.runners[3].runs()), 20)
}
