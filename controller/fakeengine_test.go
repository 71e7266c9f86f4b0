package controller

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"sandbarrow.example/sandbarrow"
)

// fakeEngine is an engine that can restart, lose responses and carry out orders late.
type fakeEngine struct {
	mu       sync.Mutex
	slots    int
	instance int
	sequence uint64
	loaded   map[sandbarrow.AdapterKey]sandbarrow.AdapterVersion
	models   []sandbarrow.BaseModelID
	// modelVersion is the version of all base models.
	modelVersion sandbarrow.ModelVersion
	token        sandbarrow.FencingToken
	// dropResponses is the number of orders to come that get no response; lateOrders holds them.
	dropResponses int
	lateOrders    []sandbarrow.EngineOrder
	received      []sandbarrow.EngineOrder
	overfull      bool
	// sameID makes the engine restart with the same ID; started then tells the starts
	// apart.
	sameID bool
	// dropLoadsOnly makes dropResponses apply to loads only.
	dropLoadsOnly bool
	started       sandbarrow.UnixMillis
	// backoff makes the engine refuse orders with this backoff; 0 carries them out.
	backoff     time.Duration
	draining    bool
	unreachable bool
}

func newFakeEngine(slots int) *fakeEngine {
	return &fakeEngine{modelVersion: testModelVersion, slots: slots, loaded: map[sandbarrow.AdapterKey]sandbarrow.AdapterVersion{}}
}

func (f *fakeEngine) id() sandbarrow.InstanceID {
	if f.sameID {
		return "engine"
	}
	return sandbarrow.InstanceID(fmt.Sprintf("start-%d", f.instance))
}

func (f *fakeEngine) Identify(context.Context, string) (sandbarrow.ListedID, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.id().Listed(), nil
}

func (f *fakeEngine) Report(context.Context) (sandbarrow.EngineReport, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.unreachable {
		return sandbarrow.EngineReport{}, sandbarrow.ErrUpstreamUnknown
	}
	r := sandbarrow.EngineReport{Draining: f.draining, Sequence: f.sequence, Started: f.started}
	for _, m := range f.models {
		model := sandbarrow.LoadedModel{Model: m, Version: f.modelVersion}
		for k, v := range f.loaded {
			model.Adapters = append(model.Adapters, sandbarrow.LoadedAdapter{Adapter: k.Adapter, Version: v})
		}
		r.Models = append(r.Models, model)
	}
	return r, nil
}

func (f *fakeEngine) Order(_ context.Context, o sandbarrow.EngineOrder) (bool, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.received = append(f.received, o)
	if f.backoff > 0 {
		return false, &sandbarrow.BackoffError{Err: sandbarrow.ErrOrderUnknown, Wait: f.backoff}
	}
	if f.dropResponses > 0 && (o.Load || !f.dropLoadsOnly) {
		f.dropResponses--
		f.lateOrders = append(f.lateOrders, o)
		return false, sandbarrow.ErrOrderUnknown
	}
	return f.carryOut(o)
}

func (f *fakeEngine) carryOut(o sandbarrow.EngineOrder) (bool, error) {
	switch {
	case o.Instance != "" && o.Instance.Listed() != f.id().Listed():
		return false, sandbarrow.ErrOrderMisdirected
	case o.Token < f.token:
		return false, sandbarrow.ErrOrderFenced
	case o.Expected != f.sequence:
		return false, sandbarrow.ErrOrderConflict
	}
	f.token = o.Token
	f.sequence++
	key := sandbarrow.AdapterKey{Adapter: o.Adapter, Model: o.Model}
	switch {
	case o.Adapter == "":
		f.models = append(f.models, o.Model)
	case !o.Load:
		delete(f.loaded, key)
		return true, nil
	default:
		if _, present := f.loaded[key]; !present && len(f.loaded) >= f.slots {
			f.overfull = true
		}
		f.loaded[key] = max(1, o.Version)
	}
	return false, nil
}

// carryOutMatchingOrders carries out the late orders that match the current sequence and
// keeps the others.
func (f *fakeEngine) carryOutMatchingOrders() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lateOrders = slices.DeleteFunc(f.lateOrders, func(o sandbarrow.EngineOrder) bool {
		o.Token = f.token // the engine lost the token in the restart
		_, err := f.carryOut(o)
		return err == nil
	})
}

// carryOutLateOrders carries out the late orders that still match and drops the others.
func (f *fakeEngine) carryOutLateOrders() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, o := range f.lateOrders {
		_, _ = f.carryOut(o)
	}
	f.lateOrders = nil
}

// setAdapterVersion replaces the loaded version of an adapter.
func (f *fakeEngine) setAdapterVersion(k sandbarrow.AdapterKey, v sandbarrow.AdapterVersion) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loaded[k] = v
}

// setModelVersion replaces the weights of the base model.
func (f *fakeEngine) setModelVersion(v sandbarrow.ModelVersion) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.modelVersion = v
}

// restart restarts the engine without models and adapters.
func (f *fakeEngine) restart() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.instance++
	f.started++
	f.sequence, f.token, f.models = 0, 0, nil
	f.loaded = map[sandbarrow.AdapterKey]sandbarrow.AdapterVersion{}
}
