package gateway

import (
	"context"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sandbarrow.example/sandbarrow"
)

func TestMovedPromptCacheMatchesRunningWeights(t *testing.T) {
	for name, tc := range map[string]struct {
		source, target testWeights
		moves          bool
	}{
		"the same weights":               {testWeights{model: 1, adapter: 1}, testWeights{model: 1, adapter: 1}, true},
		"a newer base model":             {testWeights{model: 1, adapter: 1}, testWeights{model: 7, adapter: 1}, false},
		"an older base model":            {testWeights{model: 7, adapter: 1}, testWeights{model: 1, adapter: 1}, false},
		"a newer adapter than requested": {testWeights{model: 1, adapter: 1}, testWeights{model: 1, adapter: 2}, false},
		"an older adapter":               {testWeights{model: 1, adapter: 2}, testWeights{model: 1, adapter: 1}, false},
		"a base model not reported":      {testWeights{model: 0, adapter: 1}, testWeights{model: 0, adapter: 1}, false},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 2, 0)
			f.configure(t, streamRoute(true))
			source, target := f.runners[0], f.runners[1]
			source.setWeights(tc.source)
			target.setWeights(testWeights{model: tc.target.model})
			f.awaitStatuses(t)
			f.sendSharedPrompt(t, "read")
			assert.DeepEqual(t, source.runs(), []string{"read"})

			f.keepBusy(t, source)
			target.setWeights(tc.target)
			f.awaitStatuses(t)
			f.sendSharedPrompt(t, "shared")
			assert.DeepEqual(t, target.runs(), []string{"shared"})
			assert.Equal(t, target.promptCache.stale, 0, "used prompt parts of other weights")
			assert.Equal(t, target.promptCache.moved > 0, tc.moves, "moved prompt parts from another engine")
		})
	}
}

func TestMoveIsDroppedIfGrantedWeightsDiffer(t *testing.T) {
	for name, change := range map[string]func(*runner){
		"the base model has changed":      func(r *runner) { r.setWeights(testWeights{model: 7}) },
		"the load yields a newer adapter": func(r *runner) { r.set(func() { r.latestVersion = 2 }) },
		"no change, for control":          func(*runner) {},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 2, 0)
			f.configure(t, streamRoute(true))
			source, target := f.runners[0], f.runners[1]
			source.setWeights(testWeights{model: 1, adapter: 1})
			f.awaitStatuses(t)
			f.sendSharedPrompt(t, "read")
			f.keepBusy(t, source)
			f.awaitStatuses(t)
			change(target)
			f.sendSharedPrompt(t, "shared")
			assert.DeepEqual(t, target.runs(), []string{"shared"})
			assert.Equal(t, target.promptCache.stale, 0, "used prompt parts of other weights")
			assert.Equal(t, target.promptCache.moved > 0, name == "no change, for control")
		})
	}
}

// setWeights sets the engine's version of the base model and, if it is not 0, of the adapter.
func (r *runner) setWeights(w testWeights) {
	r.set(func() {
		r.modelVersion = w.model
		if w.adapter > 0 {
			r.adapters["a1"] = w.adapter
		}
	})
}

// sendSharedPrompt sends a prompt whose first 8,000 tokens are the same in all requests.
func (f *fleet) sendSharedPrompt(t *testing.T, id string) {
	t.Helper()
	got := f.send(t.Context(), http.MethodPost, "/s/", map[string]string{
		testNames.Deadline: "5000", testNames.Model: adapterHeader[testNames.Model], testNames.Prompt: "5c:8000," + id + ":500",
		testNames.RequestID: id, testNames.Tokens: "8500,40",
	})
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusOK, got.body)
}

// keepBusy raises the cost of an engine that has the adapter loaded. It sends the engine a
// long prompt, to which the engine does not respond while the test runs.
func (f *fleet) keepBusy(t *testing.T, r *runner) {
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

// awaitStatuses waits until the gateway has received two more statuses from each engine. The
// cached prefixes of an engine are reported right after each status. With the second status
// the gateway has therefore received everything that was cached when the wait began.
func (f *fleet) awaitStatuses(t *testing.T) {
	t.Helper()
	for range 2 {
		before := time.Now()
		eventually(t, func() bool {
			for _, in := range f.gateway.directory.View().Service(testEngines) {
				if !f.gateway.engines.link(in.Address).lastContactTime().After(before) {
					return false
				}
			}
			return true
		})
	}
}

// lastContactTime returns the time at which the last status arrived.
func (l *controllerLink) lastContactTime() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lastContact
}

// testWeights are the versions of the weights that a fake engine runs.
type testWeights struct {
	adapter sandbarrow.AdapterVersion
	model   sandbarrow.ModelVersion
}

// testMemory is the prompt cache of a fake engine. It maps each part of a prompt to the
// weights it was computed with. Parts copied from another engine are not verified.
type testMemory struct {
	weights map[string]testWeights
	// stale counts the parts of other weights that were used, moved all parts that were copied
	// from another engine.
	stale, moved int
}

// copyFrom copies the parts of a prompt that another engine has cached and this one has not.
func (m *testMemory) copyFrom(from *testMemory, parts []string) {
	for _, part := range parts {
		weights, cached := from.weights[part]
		if !cached {
			return
		}
		if _, known := m.weights[part]; !known {
			m.put(part, weights)
			m.moved++
		}
	}
}

// run runs a prompt: it reuses the cached parts and caches the others.
func (m *testMemory) run(w testWeights, parts []string) {
	for _, part := range parts {
		if weights, cached := m.weights[part]; cached && weights != w {
			m.stale++
		}
		m.put(part, w)
	}
}

func (m *testMemory) put(part string, w testWeights) {
	if m.weights == nil {
		m.weights = map[string]testWeights{}
	}
	m.weights[part] = w
}
