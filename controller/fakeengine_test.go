package controller

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"sandbarrow.example/sandbarrow"
)

// fakeEngine is an engine that can restart, lose answers and carry out orders late.
type fakeEngine struct {
	mu       sync.Mutex
	slots    int
	instance int
	sequence uint64
	loaded   map[sandbarrow.AdapterKey]sandbarrow.AdapterVersion
	models   []sandbarrow.BaseModelID
	// modelVersion is that of all base models.
	modelVersion sandbarrow.ModelVersion
	token        sandbarrow.FencingToken
	// loseNext makes the next orders get no answer; late keeps them.
	loseNext int
	late     []sandbarrow.EngineOrder
	given    []sandbarrow.EngineOrder
	overfull bool
	// sameID lets it start again under its id; started tells the starts apart then.
	sameID bool
	// loseLoads lets loseNext count loads alone.
	loseLoads bool
	started   sandbarrow.UnixMillis
	// backoff refuses orders and says for how long it wants none; 0 carries them out.
	backoff time.Duration
	leaving bool
	silent  bool
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
	if f.silent {
		return sandbarrow.EngineReport{}, sandbarrow.ErrUpstreamUnknown
	}
	r := sandbarrow.EngineReport{Draining: f.leaving, Sequence: f.sequence, Started: f.started}
	for _, m := range f.models {
		held := sandbarrow.LoadedModel{Model: m, Version: f.modelVersion}
		for k, v := range f.loaded {
			held.Adapters = append(held.Adapters, sandbarrow.LoadedAdapter{Adapter: k.Adapter, Version: v})
		}
		r.Models = append(r.Models, held)
	}
	return r, nil
}

func (f *fakeEngine) Order(_ context.Context, o sandbarrow.EngineOrder) (bool, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.given = append(f.given, o)
	if f.backoff > 0 {
		return false, &sandbarrow.BackoffError{Err: sandbarrow.ErrOrderUnknown, Wait: f.backoff}
	}
	if f.loseNext > 0 && (o.Load || !f.loseLoads) {
		f.loseNext--
		f.late = append(f.late, o)
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
		if _, held := f.loaded[key]; !held && len(f.loaded) >= f.slots {
			f.overfull = true
		}
		f.loaded[key] = max(1, o.Version)
	}
	return false, nil
}

// tryLate carries out what got no answer and fits by now; the rest stays on its way.
func (f *fakeEngine) tryLate() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.late = slices.DeleteFunc(f.late, func(o sandbarrow.EngineOrder) bool {
		o.Token = f.token // the engine has forgotten the tokens of before
		_, err := f.carryOut(o)
		return err == nil
	})
}

// carryOutLate carries out what got no answer.
func (f *fakeEngine) carryOutLate() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, o := range f.late {
		_, _ = f.carryOut(o)
	}
	f.late = nil
}

// replace makes the engine hold another version of an adapter.
func (f *fakeEngine) replace(k sandbarrow.AdapterKey, v sandbarrow.AdapterVersion) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loaded[k] = v
}

// renewModel makes the engine run other weights of its base model.
func (f *fakeEngine) renewModel(v sandbarrow.ModelVersion) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.modelVersion = v
}

// restart empties the engine.
func (f *fakeEngine) restart() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.instance++
	f.started++
	f.sequence, f.token, f.models = 0, 0, nil
	f.loaded = map[sandbarrow.AdapterKey]sandbarrow.AdapterVersion{}
}
