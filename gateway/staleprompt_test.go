package gateway

import (
	"context"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sandbarrow.example/sandbarrow"
)

func TestPromptMemoryIsOfTheWeightsThatRun(t *testing.T) {
	for name, tc := range map[string]struct {
		keeper, taker testWeights
		moves         bool
	}{
		"the same weights":                   {testWeights{model: 1, adapter: 1}, testWeights{model: 1, adapter: 1}, true},
		"a newer base model":                 {testWeights{model: 1, adapter: 1}, testWeights{model: 7, adapter: 1}, false},
		"an older base model":                {testWeights{model: 7, adapter: 1}, testWeights{model: 1, adapter: 1}, false},
		"a newer adapter than was asked for": {testWeights{model: 1, adapter: 1}, testWeights{model: 1, adapter: 2}, false},
		"an older adapter":                   {testWeights{model: 1, adapter: 2}, testWeights{model: 1, adapter: 1}, false},
		"a base model not reported":          {testWeights{model: 0, adapter: 1}, testWeights{model: 0, adapter: 1}, false},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 2, 0)
			f.configure(t, streamRoute(true))
			keeper, taker := f.runners[0], f.runners[1]
			keeper.run(tc.keeper)
			taker.run(testWeights{model: tc.taker.model})
			f.awaitStatuses(t)
			f.readPrompt(t, "read")
			assert.DeepEqual(t, keeper.runs(), []string{"read"})

			f.occupy(t, keeper)
			taker.run(tc.taker)
			f.awaitStatuses(t)
			f.readPrompt(t, "shared")
			assert.DeepEqual(t, taker.runs(), []string{"shared"})
			assert.Equal(t, taker.memory.stale, 0, "ran on memory of other weights")
			assert.Equal(t, taker.memory.taken > 0, tc.moves, "took memory from another engine")
		})
	}
}

func TestPromptMemoryIsSettledByTheGrant(t *testing.T) {
	for name, change := range map[string]func(*runner){
		"the base model":       func(r *runner) { r.run(testWeights{model: 7}) },
		"what a load brings":   func(r *runner) { r.set(func() { r.newest = 2 }) },
		"nothing, for control": func(*runner) {},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 2, 0)
			f.configure(t, streamRoute(true))
			keeper, taker := f.runners[0], f.runners[1]
			keeper.run(testWeights{model: 1, adapter: 1})
			f.awaitStatuses(t)
			f.readPrompt(t, "read")
			f.occupy(t, keeper)
			f.awaitStatuses(t)
			change(taker)
			f.readPrompt(t, "shared")
			assert.DeepEqual(t, taker.runs(), []string{"shared"})
			assert.Equal(t, taker.memory.stale, 0, "ran on memory of other weights")
			assert.Equal(t, taker.memory.taken > 0, name == "nothing, for control")
		})
	}
}

// run makes the engine hold the base model and, where it is named, the adapter of the
// tests' streams.
func (r *runner) run(w testWeights) {
	r.set(func() {
		r.modelVersion = w.model
		if w.adapter > 0 {
			r.adapters["a1"] = w.adapter
		}
	})
}

// readPrompt has one engine read a prompt whose first 8,000 tokens all requests share.
func (f *fleet) readPrompt(t *testing.T, id string) {
	t.Helper()
	got := f.send(t.Context(), http.MethodPost, "/s/", map[string]string{
		testNames.Deadline: "5000", testNames.Model: adapterHeader[testNames.Model], testNames.Prompt: "5c:8000," + id + ":500",
		testNames.RequestID: id, testNames.Tokens: "8500,40",
	})
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusOK, got.body)
}

// occupy makes an engine that holds the adapter dear: it gets a long prompt and does not
// begin its answer while the test runs.
func (f *fleet) occupy(t *testing.T, r *runner) {
	t.Helper()
	r.set(func() { r.hang = true })
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go f.send(ctx, http.MethodPost, "/s/", map[string]string{
		testNames.Deadline: "20000", testNames.Model: adapterHeader[testNames.Model], testNames.RequestID: "long",
		testNames.Tokens: "200000,40",
	})
	eventually(t, func() bool { return len(r.runs()) == 2 })
}

// awaitStatuses waits until the gateway has two more statuses of each engine: what an
// engine keeps is reported right after each status, so that by the second one the gateway
// knows all that was so at the call.
func (f *fleet) awaitStatuses(t *testing.T) {
	t.Helper()
	for range 2 {
		before := time.Now()
		eventually(t, func() bool {
			for _, in := range f.gateway.directory.View().Service(testEngines) {
				if !f.gateway.engines.link(in.Address).contact().After(before) {
					return false
				}
			}
			return true
		})
	}
}

// contact is when the last status arrived.
func (l *controllerLink) contact() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lastContact
}

// testWeights are the versions of the weights that a fake engine runs.
type testWeights struct {
	adapter sandbarrow.AdapterVersion
	model   sandbarrow.ModelVersion
}

// testMemory is what a fake engine keeps of the prompts that it has read, by the weights
// with which each part was made. Memory that it takes from another engine is not checked.
type testMemory struct {
	made map[string]testWeights
	// stale counts the parts of other weights that were used, taken all parts that came
	// from another engine.
	stale, taken int
}

// take copies what another engine keeps of a prompt and this one does not.
func (m *testMemory) take(from *testMemory, parts []string) {
	for _, part := range parts {
		made, kept := from.made[part]
		if !kept {
			return
		}
		if _, known := m.made[part]; !known {
			m.keep(part, made)
			m.taken++
		}
	}
}

// use runs a prompt: it reuses what is kept of it, and keeps the rest.
func (m *testMemory) use(w testWeights, parts []string) {
	for _, part := range parts {
		if made, kept := m.made[part]; kept && made != w {
			m.stale++
		}
		m.keep(part, w)
	}
}

func (m *testMemory) keep(part string, w testWeights) {
	if m.made == nil {
		m.made = map[string]testWeights{}
	}
	m.made[part] = w
}
