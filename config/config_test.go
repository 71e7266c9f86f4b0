package config

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/internal/storetest"
	"sandbarrow.example/sandbarrow/store"
)

func TestExamples(t *testing.T) {
	files, err := filepath.Glob("../examples/*-configuration.json")
	assert.NilError(t, err)
	assert.Equal(t, len(files), 2)
	for _, f := range files {
		_, err := ReadFile(f)
		assert.NilError(t, err)
	}
}

func TestProblems(t *testing.T) {
	for name, tc := range map[string]struct{ text, want string }{
		"adapter twice":     {`{"base_models":[{"id":"b"}],"adapters":[{"id":"a","base_model":"b","versions":[{"id":"v","weights":"w"}]},` + "\n" + `{"id":"a","base_model":"b","versions":[{"id":"v","weights":"w"}]}]}`, `f:2: adapters[1].id: "a" stands twice`},
		"costly policy":     {`{"policies":[{"id":"p","once":"[1,2,3,4,5,6,7,8,9].all(a, [1,2,3,4,5,6,7,8,9].all(b, [1,2,3,4,5,6,7,8,9].all(c, adapter.contains(caller))))"}]}`, "cost"},
		"no versions":       {`{"base_models":[{"id":"b"}],"adapters":[{"id":"a","base_model":"b"}]}`, "adapters[0].versions: must hold a version"},
		"policy result":     {`{"policies":[{"id":"p","priority":"'high'"}]}`, "priority: gives string, want int"},
		"policy syntax":     {`{"policies":[{"id":"p","version":"percent <"}]}`, "policies[0]"},
		"prefix":            {`{"services":[{"id":"s","prefix":"/v1/x/"}]}`, "taken by the engines"},
		"undefined base":    {`{"adapters":[{"id":"a","base_model":"b","versions":[{"id":"v","weights":"w"}]}]}`, `base model "b" is not defined`},
		"undefined class":   {`{"callers":[{"id":"c","class":"x","key_sha256":""}]}`, `class "x" is not defined`},
		"undefined policy":  {`{"base_models":[{"id":"b"}],"adapters":[{"id":"a","base_model":"b","policy":"p","versions":[{"id":"v","weights":"w"}]}]}`, `policy "p" is not defined`},
		"unknown key":       {`{"adaptors":[]}`, "f:1: adaptors: unknown key"},
		"unknown variable":  {`{"policies":[{"id":"p","place":"adapter == 'x'"}]}`, "undeclared reference"},
		"weight over one":   {`{"weights":{"batch_efficiency":2}}`, "want 0 to 1"},
		"long wait":         {`{"weights":{"batch_wait":"1h"}}`, "weights.batch_wait"},
		"objective too big": {`{"classes":[{"id":"c","objective":{"share":1}}]}`, "objective.share"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := Parse("f", []byte(tc.text))
			assert.ErrorContains(t, err, tc.want)
		})
	}
}

func TestResolve(t *testing.T) {
	s, err := split(sized(3))
	assert.NilError(t, err)
	v, err := NewView(s)
	assert.NilError(t, err)
	seen := map[sandbarrow.VersionID]int{}
	for i := range 1000 {
		c := &Caller{Class: "desk", ID: sandbarrow.CallerID(fmt.Sprint("c", i))}
		r, err := v.Resolve(c, "adapter-1", false)
		assert.NilError(t, err)
		again, err := v.Resolve(c, "adapter-1", false)
		assert.NilError(t, err)
		assert.Equal(t, r.Model, again.Model, "a roll-out must be stable")
		seen[r.Model.Version]++
	}
	assert.Assert(t, seen["v2"] > 150 && seen["v2"] < 250, "%v at 20 in 100", seen)
	_, err = v.Resolve(&Caller{Class: "desk"}, "nobody", false)
	assert.Assert(t, errors.Is(err, ErrUnknownModel))
}

// document differs from the others by a version of its own in one shard.
func document(n int) *Document {
	d := sized(2)
	v := Version{ID: sandbarrow.VersionID(fmt.Sprint("n", n)), Weights: fmt.Sprint("w", n)}
	d.Adapters[0].Versions = append(d.Adapters[0].Versions, v)
	return d
}

func TestApplyUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		kv := store.NewMemory()
		faults := rapid.SliceOfN(rapid.IntRange(0, 7), 30, 30).Draw(rt, "faults")
		calls := 0
		faulty := &storetest.Store{Inner: kv, Next: func() storetest.Fault {
			calls++
			return storetest.Fault(faults[calls%len(faults)] % 6 % 4)
		}}
		ctx, cancel := context.WithCancel(context.Background())
		cancel() // pauses between tries take no time
		f := NewFollower(kv, slog.New(slog.NewTextHandler(io.Discard, nil)))
		accepted := 0
		for n := range rapid.IntRange(1, 8).Draw(rt, "applies") {
			before, _, err := ReadHead(ctx, kv)
			assert.NilError(rt, err)
			expected := before.Revision - sandbarrow.Revision(min(uint64(before.Revision), rapid.Uint64Range(0, 1).Draw(rt, "stale")))
			result, _, _ := Apply(ctx, faulty, document(n), expected)
			after, _, err := ReadHead(ctx, kv)
			assert.NilError(rt, err)
			switch result {
			case ApplyAccepted, ApplySuperseded:
				accepted++
				assert.Equal(rt, after.Revision, before.Revision+1)
			case ApplyConflict, ApplyRefused:
				assert.Equal(rt, after.Revision, before.Revision, "%s", result)
			case ApplyUnknown:
			}
			mark := f.Watermark()
			if after.Revision > 0 && rapid.Bool().Draw(rt, "follow") {
				s, err := ReadSnapshot(ctx, kv, after, nil)
				assert.NilError(rt, err)
				assert.NilError(rt, f.Offer(s))
			}
			old := Snapshot{Head: before}
			_ = f.Offer(old)
			assert.Assert(rt, f.Watermark().Revision >= mark.Revision, "went back")
		}
	})
}

func TestOfferRefuses(t *testing.T) {
	first, err := split(document(1))
	assert.NilError(t, err)
	first.Head.Revision = 5
	other, err := split(document(2))
	assert.NilError(t, err)
	other.Head.Revision = 5
	broken, err := split(document(3))
	assert.NilError(t, err)
	broken.Head.Revision = 6
	for digest := range broken.Shards {
		broken.Shards[digest] = []byte("{}")
		break
	}
	f := NewFollower(store.NewMemory(), slog.New(slog.NewTextHandler(io.Discard, nil)))
	assert.NilError(t, f.Offer(first))
	assert.Assert(t, errors.Is(f.Offer(other), ErrReverts), "same revision, other digest")
	assert.Assert(t, errors.Is(f.Offer(broken), ErrInvalid))
	assert.Equal(t, f.Watermark().Revision, sandbarrow.Revision(5))
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"policies":[{"id":"p","version":"percent < 20 ? 'v2' : 'v1'"}], // x` + "\n}"))
	f.Add([]byte(`{"base_models":[{"id":"b"}],"adapters":[{"id":"a","base_model":"b","versions":[{"id":"v","weights":"w"}]}]}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		d, err := Parse("f", text)
		if err != nil {
			return
		}
		s, err := split(d)
		if err != nil {
			return
		}
		s.Head.Revision = 1
		if _, err := NewView(s); err != nil {
			t.Fatalf("accepted text makes no view: %v", err)
		}
	})
}

func TestVersionKeepsItsWeights(t *testing.T) {
	kv := store.NewMemory()
	ctx := t.Context()
	_, _, err := Apply(ctx, kv, sized(3), 0)
	assert.NilError(t, err)
	before, _, err := ReadHead(ctx, kv)
	assert.NilError(t, err)

	changed := sized(3)
	changed.Adapters[1].Versions[0].Weights = "weights/other"
	result, _, err := Apply(ctx, kv, changed, 1)
	assert.Check(t, result == ApplyRefused, "%s: other weights of a version", result)
	assert.Check(t, errors.Is(err, ErrVersionChanged), "%v", err)
	assert.Check(t, err != nil && strings.Contains(err.Error(), `adapter "adapter-1", version "v1"`), "%v", err)
	after, _, err := ReadHead(ctx, kv)
	assert.NilError(t, err)
	assert.Equal(t, after.Revision, before.Revision)
}

func TestRacingVersions(t *testing.T) {
	kv := store.NewMemory()
	ctx := t.Context()
	_, _, err := Apply(ctx, kv, sized(3), 0)
	assert.NilError(t, err)
	results := make([]ApplyResult, 2)
	var wg sync.WaitGroup
	for i := range results {
		wg.Go(func() { results[i], _, _ = Apply(ctx, kv, withNewVersion(i), 1) })
	}
	wg.Wait()
	loser := slices.Index(results, ApplyConflict)
	assert.Assert(t, loser >= 0 && results[1-loser] == ApplyAccepted, "%v", results)
	result, _, err := Apply(ctx, kv, withNewVersion(loser), 2)
	assert.Check(t, result == ApplyRefused, "%s: other weights of the accepted version", result)
	assert.Check(t, err != nil && strings.Contains(err.Error(), `adapter "adapter-1", version "v3"`), "%v", err)
	result, _, err = Apply(ctx, kv, withNewVersion(1-loser), 2)
	assert.NilError(t, err)
	assert.Equal(t, result, ApplyAccepted, "the same weights again")
}

// withNewVersion is a document with a third version, whose weights the operator chose.
func withNewVersion(operator int) *Document {
	d := sized(3)
	v := Version{ID: "v3", Weights: fmt.Sprint("weights/of-operator/", operator)}
	d.Adapters[1].Versions = append(d.Adapters[1].Versions, v)
	return d
}

func TestStoredVersionChangeIsRead(t *testing.T) {
	f := NewFollower(store.NewMemory(), slog.New(slog.NewTextHandler(io.Discard, nil)))
	for i, weights := range []string{"old", "new"} {
		d := sized(2)
		d.Adapters[0].Versions[0].Weights = weights
		s, err := split(d)
		assert.NilError(t, err)
		s.Head.Revision = sandbarrow.Revision(i + 1)
		assert.NilError(t, f.Offer(s))
	}
	assert.Equal(t, f.Watermark().Revision, sandbarrow.Revision(2))
}

func TestVersionsNotCompared(t *testing.T) {
	kv := store.NewMemory()
	ctx, cancel := context.WithCancel(t.Context())
	cancel() // pauses between tries take no time
	_, head, err := Apply(ctx, kv, document(1), 0)
	assert.NilError(t, err)
	for _, digest := range head.Shards {
		item, err := kv.Get(ctx, shardKey(digest))
		assert.NilError(t, err)
		_, err = kv.CompareAndSwap(ctx, shardKey(digest), item.Revision, []byte("{}"), "")
		if !errors.Is(err, sandbarrow.ErrStoreConflict) { // one digest stands for many empty shards
			assert.NilError(t, err)
		}
	}
	result, _, err := Apply(ctx, kv, document(2), 1)
	assert.Equal(t, result, ApplyRefused)
	assert.Assert(t, errors.Is(err, ErrInvalid), "%v", err)
}
