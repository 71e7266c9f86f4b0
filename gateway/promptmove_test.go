package gateway

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/enginelink"
	"sandbarrow.example/sandbarrow/readspeed"
)

func keeper(address string, kept int, linked bool) candidate {
	return candidate{instance: &sandbarrow.Instance{Address: address}, linkView: linkView{kept: kept, linked: linked}}
}

func TestSourceOf(t *testing.T) {
	list := []candidate{keeper("a", 3000, true), keeper("b", 6000, true), keeper("c", 9000, false), keeper("d", 0, true)}
	got := sourceOf(list, time.Microsecond)
	assert.Equal(t, got, keptSource{address: "b", tokens: 6000, perToken: time.Microsecond}, "the controller of c is not linked")
	assert.Equal(t, sourceOf(list, 0).address, "", "engines can't move memory")
	assert.Equal(t, sourceOf([]candidate{keeper("a", leastMoved-1, true)}, time.Microsecond).address, "")
}

func TestConsiderMove(t *testing.T) {
	source := keptSource{address: "b", tokens: 6000, perToken: 2 * time.Microsecond}
	fast := readspeed.Speed{Base: time.Millisecond, PerToken: time.Microsecond}
	for name, tc := range map[string]struct {
		engine candidate
		moved  int
	}{
		"keeps nothing":        {keeper("a", 0, true), 6000},
		"keeps a part":         {keeper("a", 2000, true), 4000},
		"keeps almost as much": {keeper("a", 6000-leastMoved+1, true), 0},
		"keeps more":           {keeper("a", 7000, true), 0},
		"is the source":        {keeper("b", 6000, true), 0},
		"reads faster than memory moves": {candidate{
			instance: &sandbarrow.Instance{Address: "a"}, linkView: linkView{linked: true, status: enginelink.Status{Speed: fast}},
		}, 0},
	} {
		e := tc.engine
		cost := e.considerMove(&source)
		assert.Equal(t, e.moved, tc.moved, name)
		assert.Equal(t, cost, time.Duration(tc.moved)*(source.perToken+movePrice), name)
		assert.Equal(t, e.moveFrom != "", tc.moved > 0, name)
		assert.Equal(t, e.unread(9000), 9000-e.kept-tc.moved, name)
	}
}

// The engine is told where to take kept memory from, and only where that was chosen.
func TestMoveIsNamedToTheEngine(t *testing.T) {
	g := newLoneGateway()
	g.config.Headers = testNames
	for _, from := range []string{"", "10.0.0.1:80"} {
		c := callFor(g, "a", 9000)
		c.request, c.header = httptest.NewRequest(http.MethodPost, "/s/", nil), http.Header{}
		c.chosen = &candidate{moveFrom: from}
		got := c.upstreamRequest(&sandbarrow.Instance{ID: "i"}, 0)
		assert.Equal(t, got.Header.Get(testNames.MoveFrom), from)
	}
}
