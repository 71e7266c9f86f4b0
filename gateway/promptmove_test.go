package gateway

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/sourcegraph/jsonrpc2"
	"gotest.tools/v3/assert"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/enginelink"
	"sandbarrow.example/sandbarrow/internal/boottime"
	"sandbarrow.example/sandbarrow/promptcache"
	"sandbarrow.example/sandbarrow/readspeed"
)

var (
	// testKey is the adapter of the tests of moves.
	testKey = sandbarrow.AdapterKey{Adapter: "a", Model: testModel}
	// oldWeights are those with which the tests' prompts were read, newBase and
	// newAdapter differ from them in one version.
	oldWeights = sandbarrow.WeightsVersion{Adapter: 1, Model: 1}
	newAdapter = sandbarrow.WeightsVersion{Adapter: 2, Model: 1}
	newBase    = sandbarrow.WeightsVersion{Adapter: 1, Model: 7}
)

// statusOf is the status of an engine that has loaded the adapter.
func statusOf(v sandbarrow.WeightsVersion) enginelink.Status {
	s := enginelink.Status{Models: []sandbarrow.BaseModelID{testModel}, ModelVersions: []sandbarrow.ModelVersion{v.Model}}
	if v.Adapter > 0 {
		s.Slots = []enginelink.SlotStatus{{Adapter: testKey.Adapter, Model: testModel, State: enginelink.SlotLoaded, Version: v.Adapter}}
	}
	return s
}

// keeper is an engine that runs weights of a version and keeps so much of the prompt.
func keeper(address string, kept int, v sandbarrow.WeightsVersion) candidate {
	return candidate{
		instance: &sandbarrow.Instance{Address: address, ID: sandbarrow.InstanceID(address)},
		linkView: linkView{kept: kept, linked: true, status: statusOf(v), weights: v},
	}
}

// unlinked is the same engine without a link to its controller.
func unlinked(e candidate) candidate {
	e.linked = false
	return e
}

func moveNeed() *need {
	return &need{key: testKey, movePerToken: time.Microsecond, version: 1}
}

func TestSourcesOf(t *testing.T) {
	list := []candidate{
		keeper("a", 3000, oldWeights), keeper("b", 6000, oldWeights), unlinked(keeper("c", 9000, oldWeights)), keeper("d", 0, oldWeights),
		keeper("e", 7000, newBase), keeper("f", 8000, sandbarrow.WeightsVersion{Adapter: 1}), keeper("g", 5000, oldWeights),
	}
	got := sourcesOf(list, moveNeed())
	assert.Equal(t, len(got), 2, "one for each version of the weights; those of f are not known")
	assert.Equal(t, got.of(oldWeights).instance.Address, "b", "the controller of c is not linked")
	assert.Equal(t, got.of(oldWeights).tokens, 6000)
	assert.Equal(t, got.of(newBase).instance.Address, "e")
	assert.Assert(t, got.of(newAdapter) == nil)
	assert.Equal(t, len(sourcesOf(list, &need{key: testKey})), 0, "engines can't move memory")
	assert.Equal(t, len(sourcesOf([]candidate{keeper("a", leastMoved-1, oldWeights)}, moveNeed())), 0)
}

func TestConsiderMove(t *testing.T) {
	source := keeper("b", 6000, oldWeights)
	survey := &fleetSurvey{newest: 1, sources: sourcesOf([]candidate{source}, moveNeed())}
	empty := sandbarrow.WeightsVersion{Model: 1}
	fast := keeper("a", 0, oldWeights)
	fast.status.Speed = readspeed.Speed{Base: time.Millisecond, PerToken: time.Microsecond}
	for name, tc := range map[string]struct {
		engine candidate
		moved  int
	}{
		"keeps nothing":                  {keeper("a", 0, oldWeights), 6000},
		"keeps a part":                   {keeper("a", 2000, oldWeights), 4000},
		"keeps almost as much":           {keeper("a", 6000-leastMoved+1, oldWeights), 0},
		"keeps more":                     {keeper("a", 7000, oldWeights), 0},
		"is the source":                  {source, 0},
		"reads faster than memory moves": {fast, 0},
		"loads the adapter first":        {keeper("a", 0, empty), 6000},
		"a newer adapter":                {keeper("a", 0, newAdapter), 0},
		"another base model":             {keeper("a", 0, newBase), 0},
		"loads on another base model":    {keeper("a", 0, sandbarrow.WeightsVersion{Model: 7}), 0},
		"a base model not reported":      {keeper("a", 0, sandbarrow.WeightsVersion{Adapter: 1}), 0},
		"its controller is not linked":   {unlinked(keeper("a", 0, oldWeights)), 0},
	} {
		for _, named := range []sandbarrow.AdapterVersion{0, 1} { // none is named of most adapters
			e, n := tc.engine, moveNeed()
			n.version = named
			if !e.weights.Known(testKey) {
				e.weights = sandbarrow.WeightsVersion{}
			}
			cost := e.considerMove(n, survey)
			assert.Equal(t, e.move.tokens, tc.moved, name)
			assert.Equal(t, cost, time.Duration(tc.moved)*(n.movePerToken+movePrice), name)
			assert.Equal(t, e.move.from(), "", "it is not settled")
			assert.Equal(t, e.unread(9000), 9000-e.kept-tc.moved, name)
		}
	}
}

// Requests for a base model alone take memory from engines that run the same version of it.
func TestMoveForABaseModelAlone(t *testing.T) {
	n := &need{key: sandbarrow.AdapterKey{Model: testModel}, movePerToken: time.Microsecond}
	one, seven := sandbarrow.WeightsVersion{Model: 1}, sandbarrow.WeightsVersion{Model: 7}
	survey := &fleetSurvey{sources: sourcesOf([]candidate{keeper("b", 6000, one)}, n)}
	same, other := keeper("a", 0, one), keeper("a", 0, seven)
	same.considerMove(n, survey)
	other.considerMove(n, survey)
	assert.Equal(t, same.move.tokens, 6000)
	assert.Equal(t, other.move.tokens, 0)
}

// A named version of a base model binds no request: engines that run an older one serve it.
func TestNamedBaseModelBindsNoRequest(t *testing.T) {
	g := chooserOf(t, statusOf(sandbarrow.WeightsVersion{Model: 1}))
	g.estate.Update([]sandbarrow.KeyItem{{Key: "op/table", Revision: 1, Value: []byte("{}")}, {Key: "op/version/", Revision: 2, Value: []byte("7")}}, 2)
	c := callFor(g, "", 100)
	assert.Equal(t, g.estate.View().Version(c.key), sandbarrow.AdapterVersion(7))
	assert.Equal(t, c.leastVersion(), sandbarrow.AdapterVersion(0))
}

func TestReconnect(t *testing.T) {
	c, e := movingCall(t)
	link := e.move.source.link
	s := statusOf(oldWeights)
	s.Loads = enginelink.Loads{Count: 5, TookMS: 260}
	s.Speed = readspeed.Speed{Base: time.Millisecond, PerToken: time.Microsecond}
	s.Token = 41
	link.applyStatus(s)
	before := link.view(boottime.Now(), c)
	assert.Assert(t, before.linked && before.kept > 0)
	link.mu.Lock()
	link.reconnect(&jsonrpc2.Conn{})
	link.mu.Unlock()
	after := link.view(boottime.Now(), c)
	assert.Assert(t, !after.linked && after.kept == 0)
	assert.DeepEqual(t, after.status, enginelink.Status{Loads: s.Loads, Speed: s.Speed, Token: s.Token})
}

func TestNoMoveAcrossANamedVersion(t *testing.T) {
	survey := &fleetSurvey{newest: 1, sources: sourcesOf([]candidate{keeper("b", 6000, oldWeights)}, moveNeed())}
	n := moveNeed()
	n.version = 2
	e := keeper("a", 0, oldWeights)
	assert.Equal(t, e.considerMove(n, survey), time.Duration(0))
	assert.Equal(t, e.move.tokens, 0)
}

// movingCall is a call that was to take memory from an engine that keeps it.
func movingCall(t *testing.T) (*call, *candidate) {
	t.Helper()
	g := chooserOf(t, statusOf(oldWeights))
	c := callFor(g, "a", 9000)
	c.stretches = promptcache.PromptPrefixes(testKey, "5c:8000,01:1000")
	source := g.directory.View().Service(testEngines)[0]
	link := g.engines.link(source.Address)
	var memory promptcache.Memory
	memory.SetCapacity(100_000)
	memory.Use(testKey, oldWeights, c.stretches)
	changes, all, _ := memory.Changes(0)
	link.applyKept(&enginelink.Kept{All: all, Changes: changes})
	e := &candidate{granted: oldWeights, move: promptMove{
		source: keptSource{instance: source, link: link, tokens: 8000, weights: oldWeights}, tokens: 8000,
	}}
	return c, e
}

func TestSettleMove(t *testing.T) {
	for name, tc := range map[string]struct {
		change func(c *call, e *candidate, source *controllerLink)
		want   moveOutcome
	}{
		"as predicted":                        {func(*call, *candidate, *controllerLink) {}, moveSent},
		"a newer adapter":                     {func(_ *call, e *candidate, _ *controllerLink) { e.granted = newAdapter }, moveWeights},
		"a newer base":                        {func(_ *call, e *candidate, _ *controllerLink) { e.granted = newBase }, moveWeights},
		"base not reported":                   {func(_ *call, e *candidate, _ *controllerLink) { e.granted.Model = 0 }, moveWeights},
		"the source has replaced the adapter": {func(_ *call, _ *candidate, l *controllerLink) { l.applyStatus(statusOf(newAdapter)) }, moveSource},
		"the source replaces the adapter": {func(_ *call, _ *candidate, l *controllerLink) {
			s := statusOf(oldWeights)
			s.Slots[0].State = enginelink.SlotReplacing
			l.applyStatus(s)
		}, moveSource},
		"the source has another base": {func(_ *call, _ *candidate, l *controllerLink) { l.applyStatus(statusOf(newBase)) }, moveSource},
		"the source has restarted": {func(_ *call, _ *candidate, l *controllerLink) {
			s := statusOf(oldWeights)
			s.Instance = "another"
			l.applyStatus(s)
		}, moveSource},
		"the source does not answer": {func(_ *call, _ *candidate, l *controllerLink) {
			s := statusOf(oldWeights)
			s.EngineUnreachable = true
			l.applyStatus(s)
		}, moveSource},
		"the source keeps less": {func(_ *call, _ *candidate, l *controllerLink) { l.applyKept(&enginelink.Kept{All: true}) }, moveSource},
		"the source's controller is silent": {func(_ *call, _ *candidate, l *controllerLink) {
			l.mu.Lock()
			l.lastContact = boottime.Now().Add(-enginelink.HeartbeatTimeout)
			l.mu.Unlock()
		}, moveSource},
		"the source's controller is linked anew": {func(_ *call, _ *candidate, l *controllerLink) {
			l.mu.Lock()
			l.reconnect(&jsonrpc2.Conn{})
			l.mu.Unlock()
		}, moveSource},
	} {
		c, e := movingCall(t)
		tc.change(c, e, e.move.source.link)
		c.settleMove(e)
		assert.Equal(t, e.move.outcome, tc.want, name)
		assert.Equal(t, e.move.tokens > 0, tc.want == moveSent, name)
		c.request, c.header, c.chosen = httptest.NewRequest(http.MethodPost, "/s/", nil), http.Header{}, e
		named := c.upstreamRequest(&sandbarrow.Instance{ID: "i"}, 0).Header.Get(testNames.MoveFrom)
		assert.Equal(t, named != "", tc.want == moveSent, name)
	}
}

// The engine is told where to take kept memory from, and only where that was chosen.
func TestMoveIsNamedToTheEngine(t *testing.T) {
	g := newLoneGateway()
	g.config.Headers = testNames
	for _, from := range []string{"", "10.0.0.1:80"} {
		c := callFor(g, "a", 9000)
		c.request, c.header = httptest.NewRequest(http.MethodPost, "/s/", nil), http.Header{}
		c.chosen = &candidate{}
		if from != "" {
			c.chosen.move = promptMove{outcome: moveSent, source: keptSource{instance: &sandbarrow.Instance{Address: from}}, tokens: 8000}
		}
		got := c.upstreamRequest(&sandbarrow.Instance{ID: "i"}, 0)
		assert.Equal(t, got.Header.Get(testNames.MoveFrom), from)
	}
}

func TestAnotherStartHasNothingToRecall(t *testing.T) {
	l := &controllerLink{}
	status := func(in sandbarrow.InstanceID, adapter sandbarrow.AdapterID) enginelink.Status {
		return enginelink.Status{
			Instance: in, Models: []sandbarrow.BaseModelID{testModel},
			Slots: []enginelink.SlotStatus{{Adapter: adapter, Model: testModel, State: enginelink.SlotLoaded, Version: 1}},
		}
	}
	a := sandbarrow.AdapterKey{Adapter: "a", Model: testModel}
	l.applyStatus(status("e@100", "a"))
	l.applyStatus(status("e@100", "b"))
	assert.Assert(t, l.memory.Has(a, 1))
	l.applyStatus(status("", "b")) // not identified for a moment
	assert.Assert(t, l.memory.Has(a, 1))
	l.applyStatus(status("e@200", "b"))
	assert.Assert(t, !l.memory.Has(a, 1))
}
