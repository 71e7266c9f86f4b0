package route

import (
	"math"
	"testing"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	"sandbarrow.example/sandbarrow"
)

func newTestTable(t *testing.T) *Table {
	t.Helper()
	to := func(s sandbarrow.ServiceID) []Target { return []Target{{Service: s, Weight: 1}} }
	created, err := NewTable(3, []Route{
		{Name: "all", Host: "Example.org", Prefix: "/", Targets: to("s")},
		{Name: "deep", Host: "example.org", Prefix: "/a/b/", Targets: to("s")},
		{Name: "shallow", Host: "example.org", Prefix: "/a/", Targets: to("s")},
		{Name: "other", Host: "other.org", Prefix: "/a/", Targets: to("s")},
	}, []Service{{ID: "s"}}, Limits{})
	assert.NilError(t, err)
	return created
}

func TestMatchUsesHostAndLongestPrefix(t *testing.T) {
	for _, tc := range []struct{ host, path, want string }{
		{"example.org", "/a/b/c", "deep"},
		{"EXAMPLE.org:80", "/a/b/", "deep"},
		{"example.org", "/a/bc", "shallow"},
		{"example.org", "/a", "all"},
		{"other.org", "/a/b/c", "other"},
		{"other.org", "/b", ""},
		{"nowhere.org", "/a/", ""},
		{"", "/a/", ""},
	} {
		name := ""
		if r := newTestTable(t).Match(tc.host, tc.path); r != nil {
			name = r.Name
		}
		assert.Equal(t, name, tc.want, "%s%s", tc.host, tc.path)
	}
}

func TestNewTableRejectsInvalidRoutes(t *testing.T) {
	services := []Service{{ID: "s"}}
	for name, r := range map[string]Route{
		"no host":         {Prefix: "/", Targets: []Target{{Service: "s"}}},
		"relative prefix": {Host: "h", Prefix: "a/", Targets: []Target{{Service: "s"}}},
		"no service":      {Host: "h", Prefix: "/"},
		"unknown service": {Host: "h", Prefix: "/", Targets: []Target{{Service: "x"}}},
		"negative weight": {Host: "h", Prefix: "/", Targets: []Target{{Service: "s", Weight: -1}}},
	} {
		_, err := NewTable(1, []Route{r}, services, Limits{})
		assert.Assert(t, errors.Is(err, ErrInvalid), "%s: %v", name, err)
	}
}

func TestTargetsAreSplitByWeight(t *testing.T) {
	r := Route{Targets: []Target{{Service: "a", Weight: 90}, {Service: "none", Weight: 0}, {Service: "b", Weight: 10}}}
	counts := map[sandbarrow.ServiceID]int{}
	for i := range 100 {
		counts[r.Service(float64(i)/100)]++
	}
	assert.Equal(t, counts["a"], 90)
	assert.Equal(t, counts["b"], 10)
}

func TestLargeWeightsKeepTheSplit(t *testing.T) {
	r := Route{Targets: []Target{{Service: "a", Weight: math.MaxInt}, {Service: "b", Weight: math.MaxInt}}}
	assert.Equal(t, r.Service(0.25), sandbarrow.ServiceID("a"))
	assert.Equal(t, r.Service(0.75), sandbarrow.ServiceID("b"))
}

func TestOnlySafeAndResumableRoutesAreRetryable(t *testing.T) {
	for _, tc := range []struct {
		route Route
		want  bool
	}{
		{Route{Kind: KindSafe}, true},
		{Route{Kind: KindUnsafe}, false},
		{Route{Kind: KindStream}, false},
		{Route{Kind: KindStream, Resumable: true}, true},
		{Route{Kind: KindUnsafe, Resumable: true}, false},
	} {
		assert.Equal(t, tc.route.Retryable(), tc.want, "%+v", tc.route)
	}
}
